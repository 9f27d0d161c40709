package slot

// Outcome is how a grant ended: one of Completed, Unused, Refused, Unreachable and Broken.
type Outcome interface {
	outcome()
}

// Completed means that the endpoint responded, or that the caller went away.
type Completed struct{}

// Unused means that nothing was sent, through no fault of the endpoint.
type Unused struct{}

// Refused means that the endpoint refused the request and ran nothing of it.
type Refused struct{}

// Unreachable means that the endpoint accepted no connection.
type Unreachable struct{}

// Broken means that the endpoint failed or ended while it ran the request.
type Broken struct{}

func (Completed) outcome()   {}
func (Unused) outcome()      {}
func (Refused) outcome()     {}
func (Unreachable) outcome() {}
func (Broken) outcome()      {}
