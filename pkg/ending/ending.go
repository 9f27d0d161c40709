// Package ending decides whether a response that ended with its connection is whole. Its bytes do not show it:
// the kernel closes the connections of a process that was killed in order, one after the other, and the listening
// one last.
package ending

// Verdict is what is known of the end of a response.
type Verdict string

const (
	// Undecided is the verdict while more may be observed.
	Undecided Verdict = "Undecided"
	// Whole means that the endpoint lived on.
	Whole Verdict = "Whole"
	// Cut means that the endpoint ended, and not as planned.
	Cut Verdict = "Cut"
	// Unproven means that the endpoint ended, perhaps as planned after its last response, or may have ended.
	Unproven Verdict = "Unproven"
)

// Address is what is known of the endpoint's address.
type Address string

const (
	// AddressUnknown is that of an address that was not dialed, or could not be reached.
	AddressUnknown Address = "Unknown"
	// AddressAccepts means that a new connection was accepted and is open. It may be another process's.
	AddressAccepts Address = "Accepts"
	// AddressRefuses means that nothing listens there.
	AddressRefuses Address = "Refuses"
)

// Observation is what a box has noticed of an endpoint since a response of it ended with its connection.
type Observation struct {
	// IsAlive is set if bytes came on a connection that was open before, and were not under way at the end.
	IsAlive bool
	// IsOpen is set if such a connection is still open.
	IsOpen bool
	// Address is only asked for while IsOpen is not set.
	Address Address
	// IsInterrupted is set if other responses ended with their connections at the same time, and one of them or the
	// response itself shows that it was not finished.
	IsInterrupted bool
	// IsLeaving is set if the endpoint has announced its end, or is not listed any more.
	IsLeaving bool
	// IsSettled is set once no connection to the endpoint has ended for a while; for longer if IsInterrupted.
	IsSettled bool
}

// Verdict decides.
func (o Observation) Verdict() Verdict {
	switch {
	case o.IsAlive, o.IsOpen && o.IsSettled:
		return Whole
	case o.IsOpen, o.Address == AddressUnknown:
		return Undecided
	case o.Address == AddressRefuses && (o.IsInterrupted || !o.IsLeaving):
		return Cut
	case !o.IsSettled:
		return Undecided
	case o.Address == AddressRefuses, o.IsInterrupted:
		return Unproven
	default:
		return Whole
	}
}
