package peer

import "github.com/quaylead/quaylead/pkg/peer/peerpb"

// encoder turns states into updates that hold only what changed since the last.
type encoder struct {
	numbers map[string]uint32
	last    State
	first   bool
}

func newEncoder() *encoder {
	return &encoder{numbers: map[string]uint32{}, first: true}
}

func (e *encoder) encode(state State) (update *peerpb.Update, changed bool) {
	update = &peerpb.Update{Revision: state.Revision, Leaving: state.Leaving}
	for name, pool := range state.Pools {
		if poolUpdate := e.encodePool(update, name, pool); poolUpdate != nil {
			update.Pools = append(update.Pools, poolUpdate)
		}
	}
	changed = e.first || len(update.Pools) > 0 ||
		state.Revision != e.last.Revision || state.Leaving != e.last.Leaving
	e.last = state
	e.first = false
	return update, changed
}

func (e *encoder) encodePool(update *peerpb.Update, name string, pool PoolState) *peerpb.PoolUpdate {
	last, known := e.last.Pools[name]
	result := &peerpb.PoolUpdate{Demand: uint32(pool.Demand)}
	for customer, now := range pool.Customers {
		before, had := last.Customers[customer]
		if had && sameCustomer(before, now) {
			continue
		}
		entry := &peerpb.CustomerUpdate{
			Customer: e.number(update, customer),
			Served:   now.Served,
			Pending:  now.Pending,
			Waiting:  now.Waiting,
		}
		if e.first {
			entry.Lead = now.Lead
		}
		result.Customers = append(result.Customers, entry)
	}
	if known && last.Demand == pool.Demand && len(result.Customers) == 0 {
		return nil
	}
	result.Pool = e.number(update, name)
	return result
}

func sameCustomer(a, b CustomerState) bool {
	return a.Served == b.Served && a.Pending == b.Pending && a.Waiting == b.Waiting
}

// number gives a name its number, announcing it on first use.
func (e *encoder) number(update *peerpb.Update, name string) uint32 {
	number, known := e.numbers[name]
	if !known {
		number = uint32(len(e.numbers) + 1)
		e.numbers[name] = number
		update.Names = append(update.Names, &peerpb.Name{Number: number, Text: name})
	}
	return number
}

// decoder turns the updates of one stream back into states.
type decoder struct {
	names map[uint32]string
}

func (d *decoder) decode(update *peerpb.Update) State {
	if d.names == nil {
		d.names = map[uint32]string{}
	}
	for _, name := range update.Names {
		d.names[name.Number] = name.Text
	}
	state := State{
		Revision: update.Revision,
		Leaving:  update.Leaving,
		Pools:    make(map[string]PoolState, len(update.Pools)),
	}
	for _, pool := range update.Pools {
		state.Pools[d.names[pool.Pool]] = d.decodePool(pool)
	}
	return state
}

func (d *decoder) decodePool(pool *peerpb.PoolUpdate) PoolState {
	result := PoolState{
		Demand:    int(pool.Demand),
		Customers: make(map[string]CustomerState, len(pool.Customers)),
	}
	for _, entry := range pool.Customers {
		result.Customers[d.names[entry.Customer]] = CustomerState{
			Served:  entry.Served,
			Pending: entry.Pending,
			Waiting: entry.Waiting,
			Lead:    entry.Lead,
		}
	}
	return result
}
