package quota

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/gooseberryway/gooseberryway/internal/protocol/wire"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

// oneWayDelay is the delay of a message between two daemons, without faults.
const oneWayDelay = 1500 * time.Microsecond

// testState is a State whose homes are consecutive members.
type testState struct {
	members   []ident.DaemonID
	revision  ident.Offset
	homeCount int
	limits    map[ident.OrganisationID]Limit
}

func (s *testState) Limit(org ident.OrganisationID) (Limit, bool) {
	limit, ok := s.limits[org]
	return limit, ok
}

func (s *testState) Homes(org ident.OrganisationID) []ident.DaemonID {
	first := 0
	for _, c := range org {
		first += int(c)
	}
	n := min(s.homeCount, len(s.members))
	homes := make([]ident.DaemonID, 0, n)
	for i := range n {
		homes = append(homes, s.members[(first+i)%len(s.members)])
	}
	return homes
}

func (s *testState) MembersRevision() ident.Offset { return s.revision }

func (s *testState) without(daemon ident.DaemonID) *testState {
	next := *s
	next.members = slices.DeleteFunc(slices.Clone(s.members), func(d ident.DaemonID) bool { return d == daemon })
	next.revision++
	return &next
}

func (s *testState) with(daemon ident.DaemonID) *testState {
	next := *s.without(daemon)
	next.members = append(next.members, daemon)
	slices.Sort(next.members)
	return &next
}

func (s *testState) withLimit(org ident.OrganisationID, limit Limit) *testState {
	next := *s
	next.limits = map[ident.OrganisationID]Limit{}
	for id, l := range s.limits {
		next.limits[id] = l
	}
	next.limits[org] = limit
	return &next
}

// unreachableError reports a request without an answer.
type unreachableError struct{ to ident.DaemonID }

func (e *unreachableError) Error() string { return "no answer from " + string(e.to) }

// messageFault is what happens to one message.
type messageFault struct {
	extraDelay       time.Duration
	lost, duplicated bool
}

// network delivers messages between limiters with a delay; a test can have messages lost, duplicated and delayed
// further.
type network struct {
	mu       sync.Mutex
	limiters map[ident.DaemonID]*Limiter
	bytes    int
	messages int
	// faults returns what happens to a message; nil means no faults.
	faults func(from, to ident.DaemonID) messageFault
	// afterHandle is called after a home has handled a request; tests make homes faulty with it.
	afterHandle func(home *Limiter, req *wire.GrantRequest)
	inFlight    sync.WaitGroup
}

// endpoint is a daemon's access to the network.
type endpoint struct {
	network *network
	self    ident.DaemonID
}

// Grant delivers the request and the answer. A late request is handled although the sender has given up.
func (p endpoint) Grant(ctx context.Context, to ident.DaemonID, req *wire.GrantRequest) (*wire.GrantResponse, error) {
	raw, _ := proto.Marshal(req)
	answered := make(chan []byte, 1)
	p.network.inFlight.Go(func() {
		if f := p.network.deliver(p.self, to, len(raw)); f.lost {
			return
		} else if f.duplicated {
			p.network.handle(to, raw)
		}
		answer := p.network.handle(to, raw)
		if answer == nil || p.network.deliver(to, p.self, len(answer)).lost {
			return
		}
		answered <- answer
	})
	select {
	case answer := <-answered:
		resp := &wire.GrantResponse{}
		return resp, proto.Unmarshal(answer, resp)
	case <-ctx.Done():
		return nil, &unreachableError{to: to}
	}
}

// deliver counts a message, waits for its delay and returns its fault.
func (n *network) deliver(from, to ident.DaemonID, size int) messageFault {
	n.mu.Lock()
	n.bytes += size
	n.messages++
	var f messageFault
	if n.faults != nil {
		f = n.faults(from, to)
	}
	n.mu.Unlock()
	time.Sleep(oneWayDelay + f.extraDelay)
	return f
}

// handle returns the answer of a home; nil when it is down.
func (n *network) handle(to ident.DaemonID, raw []byte) []byte {
	n.mu.Lock()
	l := n.limiters[to]
	n.mu.Unlock()
	if l == nil {
		return nil
	}
	req := &wire.GrantRequest{}
	if proto.Unmarshal(raw, req) != nil {
		return nil
	}
	answer, _ := proto.Marshal(l.HandleGrant(context.Background(), req))
	if n.afterHandle != nil {
		n.afterHandle(l, req)
	}
	if answer == nil {
		return []byte{}
	}
	return answer
}

// start adds a daemon with a view.
func (n *network) start(id ident.DaemonID, incarnation ident.Incarnation, v View, maxWait time.Duration) *Limiter {
	l := &Limiter{Self: id, Incarnation: incarnation, Peers: endpoint{network: n, self: id}, MaxWait: maxWait}
	l.Observe(v)
	n.mu.Lock()
	defer n.mu.Unlock()
	n.limiters[id] = l
	return l
}

func (n *network) stop(id ident.DaemonID) {
	n.mu.Lock()
	l := n.limiters[id]
	delete(n.limiters, id)
	n.mu.Unlock()
	if l != nil {
		l.Close()
	}
}

func (n *network) close() {
	n.mu.Lock()
	ids := slices.Collect(maps.Keys(n.limiters))
	n.mu.Unlock()
	for _, id := range ids {
		n.stop(id)
	}
	n.inFlight.Wait()
}

func daemonIDs(n int) []ident.DaemonID {
	ids := make([]ident.DaemonID, 0, n)
	for i := range n {
		ids = append(ids, ident.DaemonID(fmt.Sprintf("d%02d", i)))
	}
	return ids
}

// newFleet returns n daemons with the same limits and up to 4 homes an organisation.
func newFleet(n int, maxWait time.Duration, limits map[ident.OrganisationID]Limit) (*network, *testState) {
	state := &testState{members: daemonIDs(n), revision: 1, homeCount: 4, limits: limits}
	fleet := &network{limiters: map[ident.DaemonID]*Limiter{}}
	for _, id := range state.members {
		fleet.start(id, 1, View{States: []State{state}}, maxWait)
	}
	return fleet, state
}
