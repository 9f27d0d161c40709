package peer

import (
	"bufio"
	"time"

	"github.com/gravitational/trace"
	"github.com/hashicorp/yamux"
	"google.golang.org/protobuf/proto"

	"github.com/quaylead/quaylead/pkg/peer/peerpb"
)

// FetchSettings requests settings of at least a revision from one peer after the other,
// beginning with the one named first, and returns the first that a peer sends.
func (e *Exchange) FetchSettings(first string, revision uint64) (foundRevision uint64, content []byte, err error) {
	defer func() { err = trace.Wrap(err, "fetching settings from peers") }()
	for _, l := range e.orderedLinks(first) {
		snapshot, err := e.FetchSettingsFrom(l.name, revision)
		if err == nil {
			return snapshot.Revision, snapshot.Content, nil
		}
	}
	return 0, nil, trace.NotFound("no reachable peer has revision %d", revision)
}

// FetchSettingsFrom requests settings of at least a revision, and the orders in force, from one
// peer.
func (e *Exchange) FetchSettingsFrom(box string, revision uint64) (snapshot *peerpb.Snapshot, err error) {
	defer func() { err = trace.Wrap(err, "fetching settings from %s", box) }()
	snapshot, err = e.fetchSnapshot(box, &peerpb.SnapshotRequest{Revision: revision})
	if err != nil {
		return nil, err
	}
	if snapshot.Revision < revision || snapshot.Revision == 0 {
		return nil, trace.NotFound("the peer has revision %d, but at least %d is needed", snapshot.Revision, revision)
	}
	return snapshot, nil
}

// FetchOrders requests the operator's orders from one peer; nil means that the peer knows none.
func (e *Exchange) FetchOrders(box string) (orders *peerpb.Orders, err error) {
	defer func() { err = trace.Wrap(err, "fetching orders from %s", box) }()
	snapshot, err := e.fetchSnapshot(box, &peerpb.SnapshotRequest{Orders: true})
	if err != nil {
		return nil, err
	}
	return snapshot.Orders, nil
}

// FetchRollout requests one peer's tally of the roll-out of a service; nil means that the peer
// knows of no roll-out.
func (e *Exchange) FetchRollout(box, service string) (tally *peerpb.RolloutTally, err error) {
	defer func() { err = trace.Wrap(err, "fetching from %s the tally of the roll-out of %s", box, service) }()
	snapshot, err := e.fetchSnapshot(box, &peerpb.SnapshotRequest{Rollout: service})
	if err != nil {
		return nil, err
	}
	return snapshot.Tally, nil
}

// fetchSnapshot sends a request over the open session to a peer.
func (e *Exchange) fetchSnapshot(box string, request *peerpb.SnapshotRequest) (*peerpb.Snapshot, error) {
	session := e.session(box)
	if session == nil {
		return nil, trace.NotFound("no session to the peer")
	}
	return e.fetchOver(session, request)
}

// orderedLinks returns the links to all peers, beginning with the one named first.
func (e *Exchange) orderedLinks(first string) []*link {
	e.mu.Lock()
	defer e.mu.Unlock()
	links := make([]*link, 0, len(e.links))
	for _, l := range e.links {
		links = append(links, l)
		if l.name == first {
			last := len(links) - 1
			links[0], links[last] = links[last], links[0]
		}
	}
	return links
}

// FetchDirectory requests the endpoints that changed after a version from one peer. All parts
// of the response come over one session, and the fetch fails if the peer restarts in between:
// parts of two incarnations would miss the endpoints that were removed in between.
func (e *Exchange) FetchDirectory(from string, since uint64) (directory *peerpb.Directory, err error) {
	defer func() { err = trace.Wrap(err, "fetching the directory from %s", from) }()
	session := e.session(from)
	if session == nil {
		return nil, trace.NotFound("no session to the peer")
	}
	directory = &peerpb.Directory{}
	for more := true; more; {
		snapshot, err := e.fetchOver(session, &peerpb.SnapshotRequest{Directory: true, Since: since})
		if err != nil {
			return nil, err
		}
		part := &peerpb.Directory{}
		if err := proto.Unmarshal(snapshot.Content, part); err != nil {
			return nil, err
		}
		directory.Endpoints = append(directory.Endpoints, part.Endpoints...)
		directory.Knowledge = part.Knowledge
		for _, endpoint := range part.Endpoints {
			since = max(since, endpoint.Version)
		}
		more = part.More && len(part.Endpoints) > 0
	}
	return directory, nil
}

// session returns the open session to a peer, or nil if there is none.
func (e *Exchange) session(name string) *yamux.Session {
	e.mu.Lock()
	defer e.mu.Unlock()
	l := e.links[name]
	if l == nil {
		return nil
	}
	return l.session.Load()
}

// fetchTimeout bounds a fetch from one peer before the next one is tried. Some hundred
// kilobytes take milliseconds; a box short of processor time may take half a second.
const fetchTimeout = time.Second

// fetchOver sends a request on a stream of its own and returns the response.
func (e *Exchange) fetchOver(session *yamux.Session, request *peerpb.SnapshotRequest) (snapshot *peerpb.Snapshot, err error) {
	stream, err := session.Open()
	if err != nil {
		return nil, err
	}
	defer stream.Close()
	timeout := fetchTimeout
	opening := &peerpb.Opening{Purpose: &peerpb.Opening_SnapshotRequest{
		SnapshotRequest: request,
	}}
	if err := send(stream, opening, timeout, &e.Traffic.Snapshots); err != nil {
		return nil, err
	}
	if err := stream.SetReadDeadline(time.Now().Add(timeout)); err != nil {
		return nil, err
	}
	snapshot = &peerpb.Snapshot{}
	return snapshot, receive(bufio.NewReader(stream), snapshot)
}
