package peer

import (
	"context"
	"crypto/tls"
	"net"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"
	"github.com/hashicorp/yamux"
	"go.uber.org/zap"

	"github.com/quaylead/quaylead/pkg/interval"
	"github.com/quaylead/quaylead/pkg/keepalive"
	"github.com/quaylead/quaylead/pkg/peer/peerpb"
	"github.com/quaylead/quaylead/pkg/settings"
)

// link is the session that this box keeps open to one peer.
type link struct {
	name    string
	address string
	cancel  context.CancelFunc
	// sendNow ends the wait for the next update, and sendSoon shortens it. Capacity 1.
	sendNow, sendSoon chan struct{}
	// sendsUpdates and chosen are ReceivesUpdates and Chosen of the Contact.
	sendsUpdates, chosen atomic.Bool
	// redial ends the delay before the session is opened again. Capacity 1.
	redial  chan struct{}
	session atomic.Pointer[yamux.Session]
	// opened is closed while there is a session. dialFailed is closed when the current attempt
	// to open one has failed. Both are guarded by the lock of the Exchange.
	opened, dialFailed chan struct{}
	// keepUntil is the time until which Connect keeps the link although the box is not a
	// contact. Guarded by the lock of the Exchange.
	keepUntil time.Time
	// checking is set while CheckSession waits for the response to a ping.
	checking atomic.Bool
}

// ContactsOf returns contacts for a list of peers, all of which receive updates.
func ContactsOf(peers map[string]settings.Peer) map[string]Contact {
	contacts := make(map[string]Contact, len(peers))
	for name, peer := range peers {
		contacts[name] = Contact{Address: peer.Address, ReceivesUpdates: true, Chosen: true}
	}
	return contacts
}

// SetContacts sets the boxes to which sessions are kept, and closes the sessions to all others.
func (e *Exchange) SetContacts(contacts map[string]Contact) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.group == nil || e.ctx.Err() != nil {
		return
	}
	for name, known := range e.links {
		contact, ok := contacts[name]
		if (!ok && time.Now().After(known.keepUntil)) || (ok && contact.Address != known.address) {
			known.cancel()
			delete(e.links, name)
		}
	}
	for name, contact := range contacts {
		if name == e.Box.Name {
			continue
		}
		l := e.links[name]
		if l == nil {
			l = e.addLink(name, contact.Address)
		}
		if l.sendsUpdates.Swap(contact.ReceivesUpdates) != contact.ReceivesUpdates || l.chosen.Swap(contact.Chosen) != contact.Chosen {
			signal(l.sendNow)
		}
	}
}

// addLink adds a link and starts opening its session. The lock is held.
func (e *Exchange) addLink(name, address string) *link {
	ctx, cancel := context.WithCancel(e.ctx)
	added := &link{
		name:       name,
		address:    address,
		cancel:     cancel,
		sendNow:    make(chan struct{}, 1),
		sendSoon:   make(chan struct{}, 1),
		redial:     make(chan struct{}, 1),
		opened:     make(chan struct{}),
		dialFailed: make(chan struct{}),
	}
	e.links[name] = added
	e.group.Go(func() error {
		e.maintain(ctx, added)
		return nil
	})
	return added
}

// signal sends on a channel of capacity 1 without blocking.
func signal(c chan<- struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// minRedialDelay is the first delay after a session has ended or could not be opened; it
// doubles up to the heartbeat interval. The boxes of a fleet that starts as a whole are up
// within a few hundred milliseconds of each other: with a delay of a whole heartbeat interval,
// a third of the sessions opened 1 to 1.7 s late, and until then several boxes dispatched for
// the same engines.
const minRedialDelay = 50 * time.Millisecond

// maintain keeps a session to a peer open, and reopens it when it has ended, until the context
// ends.
func (e *Exchange) maintain(ctx context.Context, l *link) {
	delay := minRedialDelay
	for ctx.Err() == nil {
		start := time.Now()
		err := e.runSession(ctx, l)
		if ctx.Err() != nil {
			return
		}
		e.Log.Debug("session to peer ended", zap.String("Peer", l.name), zap.Error(err))
		if time.Since(start) > e.Box.Exchange.Lapse.Duration {
			delay = minRedialDelay
		}
		if interval.WaitOr(ctx, interval.Jittered(delay), l.redial) != nil {
			return
		}
		delay = min(2*delay, e.Box.Exchange.Heartbeat.Duration)
	}
}

// Redial opens the session to a peer at once if there is none. It is called when an update
// from the peer has arrived.
func (e *Exchange) Redial(box string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	l := e.links[box]
	if l == nil {
		return
	}
	signal(l.redial)
}

// ReopenSessions closes all sessions that this box opened and opens them again: after a
// suspension of the machine the peers have given them up.
func (e *Exchange) ReopenSessions() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, l := range e.links {
		if session := l.session.Load(); session != nil {
			session.Close()
		}
		signal(l.redial)
	}
}

// pingTimeout is how long a peer may take to respond to the ping of CheckSession. It takes a
// millisecond on a working session, but more than half a second if its box is short of processor
// time, and reopening its sessions costs such a box even more. With 0.5 s, 56 working sessions
// among 85 boxes were closed in 25 s.
const pingTimeout = 1500 * time.Millisecond

// CheckSession pings a peer, and closes and reopens the session to it if it does not respond:
// the connection may be dead while new ones work.
func (e *Exchange) CheckSession(box string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	l := e.links[box]
	if l == nil || e.ctx.Err() != nil {
		return
	}
	session := l.session.Load()
	if session == nil || !l.checking.CompareAndSwap(false, true) {
		return
	}
	e.group.Go(func() error {
		defer l.checking.Store(false)
		timer := time.AfterFunc(pingTimeout, func() { session.Close() })
		defer timer.Stop()
		if _, err := session.Ping(); err != nil {
			e.Log.Warn("session to peer gave no sign of life", zap.String("Peer", box), zap.Error(err))
		}
		return nil
	})
}

// IsConnected reports whether there is a session to a peer.
func (e *Exchange) IsConnected(box string) bool { return e.session(box) != nil }

// Connected returns the peers to which there is a session.
func (e *Exchange) Connected() map[string]bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	connected := make(map[string]bool, len(e.links))
	for name, l := range e.links {
		if l.session.Load() != nil {
			connected[name] = true
		}
	}
	return connected
}

// runSession opens a session and sends updates on it until it breaks.
func (e *Exchange) runSession(ctx context.Context, l *link) (err error) {
	raw, err := e.dial(ctx, l.address)
	if err != nil {
		e.signalDialFailed(l)
		return err
	}
	session, err := yamux.Client(&countingConn{Conn: raw, traffic: &e.Traffic}, e.sessionConfig())
	if err != nil {
		raw.Close()
		return err
	}
	defer session.Close()
	e.setSession(l, session)
	defer e.setSession(l, nil)
	stop := context.AfterFunc(ctx, func() { session.Close() })
	defer stop()
	e.Log.Info("session to peer opened", zap.String("Peer", l.name))
	for {
		if err := e.awaitUpdatesWanted(ctx, l, session); err != nil {
			return err
		}
		stream, err := session.Open()
		if err != nil {
			return err
		}
		err = e.sendUpdates(ctx, stream, l)
		stream.Close()
		if err != nil {
			return err
		}
	}
}

// setSession records the session of a link; nil means that it has ended.
func (e *Exchange) setSession(l *link, session *yamux.Session) {
	e.mu.Lock()
	defer e.mu.Unlock()
	l.session.Store(session)
	if session != nil {
		close(l.opened)
		return
	}
	l.opened = make(chan struct{})
}

// signalDialFailed wakes the callers of Connect when no session could be opened.
func (e *Exchange) signalDialFailed(l *link) {
	e.mu.Lock()
	defer e.mu.Unlock()
	close(l.dialFailed)
	l.dialFailed = make(chan struct{})
}

// minConnectTTL is how long a link opened by Connect is kept at least. By then the contacts
// have been chosen again and include the box.
const minConnectTTL = time.Second

// Connect opens a session to a box, if there is none, and waits until it is open, dialing has
// failed or the context ends.
func (e *Exchange) Connect(ctx context.Context, box, address string) (err error) {
	defer func() { err = trace.Wrap(err, "opening a session to %s", box) }()
	e.mu.Lock()
	if e.group == nil || e.ctx.Err() != nil {
		e.mu.Unlock()
		return trace.ConnectionProblem(nil, "this box is stopping")
	}
	l := e.links[box]
	if l == nil || l.address != address {
		if l != nil {
			l.cancel()
		}
		l = e.addLink(box, address)
	}
	l.keepUntil = time.Now().Add(minConnectTTL)
	opened, dialFailed := l.opened, l.dialFailed
	signal(l.redial)
	e.mu.Unlock()
	select {
	case <-opened:
		return nil
	case <-dialFailed:
		return trace.ConnectionProblem(nil, "cannot connect to %s", address)
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}

// awaitUpdatesWanted waits until the link has to send updates.
func (e *Exchange) awaitUpdatesWanted(ctx context.Context, l *link, session *yamux.Session) error {
	for !l.sendsUpdates.Load() {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-session.CloseChan():
			return yamux.ErrSessionShutdown
		case <-l.sendNow:
		}
	}
	return nil
}

// SendNow sends changes to all peers at once. It is for changes that cannot wait, such as a new
// revision of the settings.
func (e *Exchange) SendNow() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, l := range e.links {
		signal(l.sendNow)
	}
}

// defaultRowsDelay is how long SendSoon waits for further changed rows unless
// Exchange.RowsDelay is set. After a start or a loss of many boxes, each box has several rows
// to forward within a few milliseconds. A change crosses a fleet of 300 boxes in four or five
// hops, so this delays it by a quarter of a second.
const defaultRowsDelay = 50 * time.Millisecond

// SendSoon sends changes to all peers within the delay of rows.
func (e *Exchange) SendSoon() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, l := range e.links {
		signal(l.sendSoon)
	}
}

func (e *Exchange) dial(ctx context.Context, address string) (net.Conn, error) {
	if e.Dial != nil {
		return e.Dial(ctx, address)
	}
	dialer := keepalive.Dialer(e.Box.Exchange.DialTimeout.Duration, e.Box.Exchange.Lapse.Duration)
	if e.TLS == nil {
		return dialer.DialContext(ctx, "tcp", address)
	}
	secure := tls.Dialer{NetDialer: dialer, Config: e.TLS}
	return secure.DialContext(ctx, "tcp", address)
}

// sendUpdates sends the whole state once and then what changed, at least one update in each
// heartbeat interval, until the link no longer has to send updates.
func (e *Exchange) sendUpdates(ctx context.Context, stream net.Conn, l *link) error {
	timing := e.Box.Exchange
	encoder := newEncoder()
	hello := &peerpb.Opening{Purpose: &peerpb.Opening_Hello{Hello: e.hello()}}
	if err := send(stream, hello, timing.Lapse.Duration, &e.Traffic.Updates); err != nil {
		return err
	}
	lastSent := time.Time{}
	mark, endMark, departureMark := uint64(0), uint64(0), uint64(0)
	for l.sendsUpdates.Load() {
		state := e.States.State()
		state.Chosen = l.chosen.Load()
		if e.Rows != nil {
			state.Rows, mark = e.Rows.Rows(mark, l.name)
		}
		if e.Ends != nil {
			state.Ends, endMark = e.Ends.EndsSince(endMark, l.name, time.Now())
		}
		if e.Departures != nil {
			state.Departures, departureMark = e.Departures.Departures(departureMark, l.name, time.Now())
		}
		update, changed := encoder.encode(state)
		if changed || time.Since(lastSent) >= timing.Heartbeat.Duration {
			if err := send(stream, update, timing.Lapse.Duration, &e.Traffic.Updates); err != nil {
				return err
			}
			lastSent = time.Now()
		}
		if err := e.awaitNextUpdate(ctx, l); err != nil {
			return err
		}
	}
	return nil
}

func (e *Exchange) rowsDelay() time.Duration {
	if e.RowsDelay == nil {
		return defaultRowsDelay
	}
	return e.RowsDelay()
}

// awaitNextUpdate waits until the next update is due.
func (e *Exchange) awaitNextUpdate(ctx context.Context, l *link) error {
	timer := time.NewTimer(interval.Jittered(e.Box.Exchange.Interval.Duration))
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-l.sendNow:
		return nil
	case <-l.sendSoon:
		return interval.WaitOr(ctx, e.rowsDelay(), l.sendNow)
	case <-ctx.Done():
		return ctx.Err()
	}
}
