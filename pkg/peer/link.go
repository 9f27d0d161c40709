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

// link is the session to one peer that this box opened.
type link struct {
	name    string
	address string
	cancel  context.CancelFunc
	// wake ends the wait for the next update, and soon shortens it. Capacity 1.
	sendNow, sendSoon chan struct{}
	// told and chosen are those of the Contact.
	sendsUpdates, chosen atomic.Bool
	// redial ends the wait before the session is opened again. Capacity 1.
	redial  chan struct{}
	session atomic.Pointer[yamux.Session]
	// stands is closed while there is a session, and failed once the attempt at one that is
	// under way has failed. The exchange's lock guards the fields.
	opened, dialFailed chan struct{}
	// neededUntil is how long the link is kept though it is no contact: a session was asked
	// for just now. The exchange's lock guards it.
	keepUntil time.Time
	// doubted is set while the session is asked for a sign of life.
	checking atomic.Bool
}

// ContactsOf has all of a list of peers told.
func ContactsOf(peers map[string]settings.Peer) map[string]Contact {
	contacts := make(map[string]Contact, len(peers))
	for name, peer := range peers {
		contacts[name] = Contact{Address: peer.Address, SendsUpdates: true, Chosen: true}
	}
	return contacts
}

// SetContacts says to which boxes sessions are kept. Those to boxes that are no
// longer among them are closed.
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
		if l.sendsUpdates.Swap(contact.SendsUpdates) != contact.SendsUpdates || l.chosen.Swap(contact.Chosen) != contact.Chosen {
			signal(l.sendNow)
		}
	}
}

// addLink has a session opened. The lock is held.
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

// wakeUp sends without waiting on a channel of capacity 1.
func signal(c chan<- struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// redialSoonest is the first wait after a session that ended or could not be
// opened; it doubles up to the heartbeat. A fleet that starts together has its boxes
// up within a few hundred milliseconds of each other: with a wait of a whole
// heartbeat, a third of the sessions stood 1 to 1.7 s late, and as long several
// boxes dispatched for the same engines.
const minRedialDelay = 50 * time.Millisecond

// keep opens the session to a peer again and again until it is cancelled.
func (e *Exchange) maintain(ctx context.Context, l *link) {
	pause := minRedialDelay
	for ctx.Err() == nil {
		began := time.Now()
		err := e.runSession(ctx, l)
		if ctx.Err() != nil {
			return
		}
		e.Log.Debug("session to peer ended", zap.String("Peer", l.name), zap.Error(err))
		if time.Since(began) > e.Box.Exchange.Lapse.Duration {
			pause = minRedialDelay
		}
		if interval.WaitOr(ctx, interval.Jittered(pause), l.redial) != nil {
			return
		}
		pause = min(2*pause, e.Box.Exchange.Heartbeat.Duration)
	}
}

// Redial has the session to a peer opened now, if there is none: it was just heard.
func (e *Exchange) Redial(box string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	l := e.links[box]
	if l == nil {
		return
	}
	signal(l.redial)
}

// Renew has all sessions that this box opened closed and opened anew: it was suspended, and
// the others have given them up.
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

// doubtTime is how long a doubted session may take to answer. On one that lives an
// answer takes a millisecond. A box that is short of processor time may take more than
// half a second, and closing its sessions then costs it more: with 0.5 s, 56 of them
// were closed in 25 s of a day with 85 boxes, none of them silent for good.
const pingTimeout = 1500 * time.Millisecond

// Doubt has a session to a peer closed, and opened anew, unless it gives a sign of
// life: its connection may have gone silent while new ones work.
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
		silent := time.AfterFunc(pingTimeout, func() { session.Close() })
		defer silent.Stop()
		if _, err := session.Ping(); err != nil {
			e.Log.Warn("session to peer gave no sign of life", zap.String("Peer", box), zap.Error(err))
		}
		return nil
	})
}

// Reaches tells whether there is a session to a peer.
func (e *Exchange) IsConnected(box string) bool { return e.session(box) != nil }

// Reached are the peers to which there is a session.
func (e *Exchange) Connected() map[string]bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	reached := make(map[string]bool, len(e.links))
	for name, l := range e.links {
		if l.session.Load() != nil {
			reached[name] = true
		}
	}
	return reached
}

// tell opens a session and sends updates on it until it breaks.
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
		if err := e.awaitSendsUpdates(ctx, l, session); err != nil {
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

// setSession notes the session of a link; nil means that there is none any more.
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

// noteFailed has those that wait for a session know that none could be opened.
func (e *Exchange) signalDialFailed(l *link) {
	e.mu.Lock()
	defer e.mu.Unlock()
	close(l.dialFailed)
	l.dialFailed = make(chan struct{})
}

// neededFor is how long a session that was asked for is kept, at least: by then the boxes to
// which sessions are kept were chosen anew, with this one among them.
const minConnectTTL = time.Second

// Reach has a session opened to a box, if there is none, and waits until it stands or the
// context ends.
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
	stands, failed := l.opened, l.dialFailed
	signal(l.redial)
	e.mu.Unlock()
	select {
	case <-stands:
		return nil
	case <-failed:
		return trace.ConnectionProblem(nil, "nobody answers at %s", address)
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}

// awaitTold waits until the peer is to be told.
func (e *Exchange) awaitSendsUpdates(ctx context.Context, l *link, session *yamux.Session) error {
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

// Wake has what changed told to all peers at once. It is for news that can not
// wait, such as a new revision of the settings.
func (e *Exchange) SendNow() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, l := range e.links {
		signal(l.sendNow)
	}
}

// rowsDelay is how long rows with news wait for others that come with them, unless
// Exchange.RowsDelay says it: after a
// start or a loss of many boxes, each box has several rows to pass on within a few
// milliseconds. News crosses a fleet of 300 boxes in four or five hops, so this delays
// it by a quarter of a second.
const defaultRowsDelay = 50 * time.Millisecond

// WakeSoon has what changed told to all peers within rowsDelay.
func (e *Exchange) SendSoon() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, l := range e.links {
		signal(l.sendSoon)
	}
}

func (e *Exchange) dial(ctx context.Context, address string) (net.Conn, error) {
	dialer := keepalive.Dialer(e.Box.Exchange.DialTimeout.Duration, e.Box.Exchange.Lapse.Duration)
	if e.TLS == nil {
		return dialer.DialContext(ctx, "tcp", address)
	}
	secure := tls.Dialer{NetDialer: dialer, Config: e.TLS}
	return secure.DialContext(ctx, "tcp", address)
}

// sendUpdates sends everything once and then what changed, at least a heartbeat in
// each heartbeat interval, until the peer is no longer to be told.
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
			state.Ends, endMark = e.Ends.Since(endMark, l.name, time.Now())
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

// awaitNews waits for the time of the next update.
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
