package peer

import (
	"slices"
	"time"

	"github.com/quaylead/quaylead/pkg/epoch"
	"github.com/quaylead/quaylead/pkg/lifecycle"
	"github.com/quaylead/quaylead/pkg/peer/peerpb"
	"github.com/quaylead/quaylead/pkg/quarantine"
	"github.com/quaylead/quaylead/pkg/route"
)

// PendingUnit is the unit, in weighted tokens, in which pending charges are sent to peers. It
// is small compared with the cost of one request.
const PendingUnit = 64

// encoder encodes states as updates that hold only what changed since the previous update of
// the stream.
type encoder struct {
	numbers map[string]uint32
	last    State
	first   bool
}

func newEncoder() *encoder {
	return &encoder{numbers: map[string]uint32{}, first: true}
}

func (e *encoder) encode(state State) (update *peerpb.Update, changed bool) {
	update = &peerpb.Update{
		Revision:  state.Revision,
		Leaving:   state.Leaving,
		Directory: uint64(state.Directory),
		Knowledge: EncodeKnowledge(state.Knowledge),
		Orders:    uint64(state.Orders),
		Chosen:    state.Chosen,
		Rows:      encodeRows(state.Rows),
		Ends:      EncodeEnds(state.Ends),

		Departures: EncodeDepartures(state.Departures),
		Rollouts:   encodeRolloutVerdicts(state.Rollouts),
	}
	for name, pool := range state.Pools {
		if poolUpdate := e.encodePool(update, name, pool); poolUpdate != nil {
			update.Pools = append(update.Pools, poolUpdate)
		}
	}
	changed = e.first || len(update.Pools) > 0 || len(update.Rows) > 0 || len(update.Ends) > 0 || len(update.Departures) > 0 ||
		state.Revision != e.last.Revision || state.Leaving != e.last.Leaving ||
		state.Directory != e.last.Directory || state.Knowledge != e.last.Knowledge ||
		state.Chosen != e.last.Chosen || state.Orders != e.last.Orders ||
		!slices.Equal(state.Rollouts, e.last.Rollouts)
	if state.Releases.Version != e.last.Releases.Version {
		update.Releases = encodeReleases(state.Releases)
		changed = true
	}
	e.last = state
	e.first = false
	return update, changed
}

func (e *encoder) encodePool(update *peerpb.Update, name string, pool PoolState) *peerpb.PoolUpdate {
	last, known := e.last.Pools[name]
	result := &peerpb.PoolUpdate{Demand: uint32(pool.Demand)}
	for customer, current := range pool.Customers {
		before, sent := last.Customers[customer]
		if sent && isSameAccount(before, current) {
			continue
		}
		result.Customers = append(result.Customers, e.number(update, customer))
		result.Served = append(result.Served, current.Served-before.Served)
		result.Pending = append(result.Pending, pendingUnits(current)-pendingUnits(before))
		result.Waiting = append(result.Waiting, int32(current.Waiting)-int32(before.Waiting))
		if e.first {
			result.Leads = append(result.Leads, current.Lead)
		}
	}
	if known && last.Demand == pool.Demand && len(result.Customers) == 0 {
		return nil
	}
	result.Pool = e.number(update, name)
	return result
}

func pendingUnits(customer CustomerState) int64 {
	return int64(customer.Pending / PendingUnit)
}

func isSameAccount(a, b CustomerState) bool {
	return a.Served == b.Served && pendingUnits(a) == pendingUnits(b) && a.Waiting == b.Waiting
}

// number returns the number of a name and, on first use, adds the name to the update.
func (e *encoder) number(update *peerpb.Update, name string) uint32 {
	number, known := e.numbers[name]
	if !known {
		number = uint32(len(e.numbers) + 1)
		e.numbers[name] = number
		update.Names = append(update.Names, &peerpb.Name{Number: number, Text: name})
	}
	return number
}

// accountKey identifies one customer in one pool.
type accountKey struct {
	pool, customer uint32
}

// decoder restores states from the updates of one stream.
type decoder struct {
	names map[uint32]string
	// accounts hold the sums of the differences received so far.
	accounts map[accountKey]CustomerState
}

// LengthMismatchError reports an update whose parallel fields differ in length.
type LengthMismatchError struct {
	Customers, Served, Pending, Waiting, Leads int
}

// Error implements error.
func (e *LengthMismatchError) Error() string {
	return "the parallel fields of an update differ in length"
}

func (d *decoder) decode(update *peerpb.Update) (state State, err error) {
	if d.names == nil {
		d.names = map[uint32]string{}
		d.accounts = map[accountKey]CustomerState{}
	}
	for _, name := range update.Names {
		d.names[name.Number] = name.Text
	}
	state = State{
		Revision:  update.Revision,
		Leaving:   update.Leaving,
		Directory: epoch.Version(update.Directory),
		Knowledge: DecodeKnowledge(update.Knowledge),
		Orders:    epoch.Version(update.Orders),
		Chosen:    update.Chosen,
		Rows:      decodeRows(update.Rows),
		Ends:      DecodeEnds(update.Ends),

		Departures: DecodeDepartures(update.Departures),
		Rollouts:   decodeRolloutVerdicts(update.Rollouts),
		Releases:   decodeReleases(update.Releases),

		Pools: make(map[string]PoolState, len(update.Pools)),
	}
	for _, pool := range update.Pools {
		if err := checkLengths(pool); err != nil {
			return state, err
		}
		state.Pools[d.names[pool.Pool]] = d.decodePool(pool)
	}
	return state, nil
}

// EncodeKnowledge encodes how much is known of the endpoints.
func EncodeKnowledge(k route.Knowledge) *peerpb.Knowledge {
	return &peerpb.Knowledge{
		Known:     uint64(k.Known),
		Base:      uint64(k.Base),
		GapAfter:  uint64(k.GapAfter),
		GapBefore: uint64(k.GapBefore),
		Looks:     k.Polls,
		Digest:    k.Digest,
	}
}

// DecodeKnowledge decodes how much a peer knows of the endpoints; a missing message means that
// it knows nothing.
func DecodeKnowledge(message *peerpb.Knowledge) route.Knowledge {
	return route.Knowledge{
		Known:     epoch.Version(message.GetKnown()),
		Base:      epoch.Version(message.GetBase()),
		GapAfter:  epoch.Version(message.GetGapAfter()),
		GapBefore: epoch.Version(message.GetGapBefore()),
		Polls:     message.GetLooks(),
		Digest:    message.GetDigest(),
	}
}

func encodeRows(rows []Row) []*peerpb.Row {
	encoded := make([]*peerpb.Row, 0, len(rows))
	for i := range rows {
		row := &rows[i]
		box := encodeSender(row.Sender)
		box.OperatorAddress = ""
		encoded = append(encoded, &peerpb.Row{
			Box:        box,
			Sequence:   row.Sequence,
			Leaving:    row.Leaving,
			Configured: row.Configured,
			StoreLost:  row.StoreLost,
			Heard:      row.Heard,
		})
	}
	return encoded
}

// decodeRows skips rows that name no box.
func decodeRows(encoded []*peerpb.Row) []Row {
	rows := make([]Row, 0, len(encoded))
	for _, row := range encoded {
		if row.Box == nil {
			continue
		}
		rows = append(rows, Row{
			Sender:     decodeSender(row.Box),
			Sequence:   row.Sequence,
			Leaving:    row.Leaving,
			Configured: row.Configured,
			StoreLost:  row.StoreLost,
			Heard:      row.Heard,
		})
	}
	return rows
}

// EncodeEnds encodes records of endpoints that ended.
func EncodeEnds(ends []quarantine.End) (messages []*peerpb.EndpointEnd) {
	for i := range ends {
		messages = append(messages, EncodeEnd(&ends[i]))
	}
	return messages
}

// EncodeEnd encodes one record of an endpoint that ended.
func EncodeEnd(end *quarantine.End) *peerpb.EndpointEnd {
	return &peerpb.EndpointEnd{
		Fingerprint: end.Fingerprint[:],
		Life:        uint64(end.Instance),
		Version:     end.Version,
		Age:         end.Age.Microseconds(),
	}
}

// DecodeEnds decodes records of endpoints that ended; those without a fingerprint are skipped.
func DecodeEnds(messages []*peerpb.EndpointEnd) (ends []quarantine.End) {
	for _, message := range messages {
		fingerprint := DecodeFingerprint(message.Fingerprint)
		if fingerprint.IsZero() {
			continue
		}
		ends = append(ends, quarantine.End{
			Fingerprint: fingerprint,
			Instance:    quarantine.Instance(message.Life),
			Version:     message.Version,
			Age:         time.Duration(max(0, message.Age)) * time.Microsecond,
		})
	}
	return ends
}

// EncodeDepartures encodes departures of endpoints.
func EncodeDepartures(departures []lifecycle.Departure) (messages []*peerpb.Departure) {
	for i := range departures {
		messages = append(messages, &peerpb.Departure{
			Endpoint: departures[i].Endpoint,
			Born:     departures[i].Born,
			Age:      departures[i].Age.Microseconds(),
		})
	}
	return messages
}

// DecodeDepartures decodes departures; those that name no endpoint are skipped.
func DecodeDepartures(messages []*peerpb.Departure) (departures []lifecycle.Departure) {
	for _, message := range messages {
		if message.Endpoint == "" {
			continue
		}
		departures = append(departures, lifecycle.Departure{
			Endpoint: message.Endpoint,
			Born:     message.Born,
			Age:      time.Duration(max(0, message.Age)) * time.Microsecond,
		})
	}
	return departures
}

// DecodeFingerprint decodes a fingerprint. It returns the zero fingerprint if the length is
// wrong.
func DecodeFingerprint(bytes []byte) (f quarantine.Fingerprint) {
	if len(bytes) == len(f) {
		copy(f[:], bytes)
	}
	return f
}

func encodeSender(sender Sender) *peerpb.Hello {
	return &peerpb.Hello{
		Box:             sender.Box,
		Zone:            sender.Zone,
		Incarnation:     sender.Incarnation,
		OperatorAddress: sender.OperatorAddress,
		PeerAddress:     sender.PeerAddress,
		Cores:           uint32(sender.Cores * coreUnits),
	}
}

func checkLengths(pool *peerpb.PoolUpdate) error {
	lengths := []int{len(pool.Served), len(pool.Pending), len(pool.Waiting)}
	if leads := len(pool.Leads); leads > 0 {
		lengths = append(lengths, leads)
	}
	mismatch := slices.ContainsFunc(lengths, func(length int) bool { return length != len(pool.Customers) })
	if !mismatch {
		return nil
	}
	return &LengthMismatchError{
		Customers: len(pool.Customers),
		Served:    len(pool.Served),
		Pending:   len(pool.Pending),
		Waiting:   len(pool.Waiting),
		Leads:     len(pool.Leads),
	}
}

func (d *decoder) decodePool(pool *peerpb.PoolUpdate) PoolState {
	result := PoolState{
		Demand:    int(pool.Demand),
		Customers: make(map[string]CustomerState, len(pool.Customers)),
	}
	for i, customer := range pool.Customers {
		key := accountKey{pool: pool.Pool, customer: customer}
		current := d.accounts[key]
		current.Served += pool.Served[i]
		current.Pending = uint64(max(0, int64(current.Pending)+pool.Pending[i]*PendingUnit))
		current.Waiting = uint32(max(0, int32(current.Waiting)+pool.Waiting[i]))
		if len(pool.Leads) > 0 {
			current.Lead = pool.Leads[i]
		}
		d.accounts[key] = current
		result.Customers[d.names[customer]] = current
	}
	return result
}
