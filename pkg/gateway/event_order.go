package gateway

import "github.com/quaylead/quaylead/pkg/endpoint"

// eventOrder compares the IDs of a stream's events with those of the events before.
type eventOrder struct {
	// lastEvent is the ID of the last event, after which the stream may go on; empty if that event has none.
	// lastNumber is the last ID that is a number.
	lastEvent, lastNumber string
}

// orderAfter returns the order of a stream that goes on after an event; empty for one from the start.
func orderAfter(lastEvent string) eventOrder {
	return eventOrder{lastEvent: lastEvent, lastNumber: lastEvent}
}

// follows reports whether an event may follow the one before, and if so records its ID.
func (o *eventOrder) follows(event []byte) bool {
	id, found := endpoint.EventID(event)
	if found && (!endpoint.FollowsID(id, o.lastEvent) || !endpoint.FollowsID(id, o.lastNumber)) {
		return false
	}
	// An engine that goes on after an earlier event would send one without an ID again.
	o.lastEvent = id
	if endpoint.IsNumber(id) {
		o.lastNumber = id
	}
	return true
}

// checkEvents checks a stream that was read whole: it must not end inside an event, and its events must be in
// order.
func (o *eventOrder) checkEvents(body []byte) error {
	for {
		length := endpoint.EventLength(body)
		if length < 0 {
			break
		}
		if endpoint.KindOf(body[:length]) == endpoint.BlockEvent && !o.follows(body[:length]) {
			return errDisordered
		}
		body = body[length:]
	}
	if endpoint.IsInsideEvent(body) {
		return endpoint.ErrIncomplete
	}
	return nil
}
