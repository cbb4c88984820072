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

// oneWay is the delay of a message between two daemons.
const oneWay = 1500 * time.Microsecond

// world is a State of a test.
type world struct {
	members  []ident.DaemonID
	revision ident.Offset
	homes    int
	limits   map[ident.OrganisationID]Limit
}

func (s *world) Limit(org ident.OrganisationID) (Limit, bool) {
	limit, ok := s.limits[org]
	return limit, ok
}

func (s *world) Homes(org ident.OrganisationID) []ident.DaemonID {
	first := 0
	for _, c := range org {
		first += int(c)
	}
	n := min(s.homes, len(s.members))
	homes := make([]ident.DaemonID, 0, n)
	for i := range n {
		homes = append(homes, s.members[(first+i)%len(s.members)])
	}
	return homes
}

func (s *world) MembersRevision() ident.Offset { return s.revision }

func (s *world) without(daemon ident.DaemonID) *world {
	next := *s
	next.members = slices.DeleteFunc(slices.Clone(s.members), func(d ident.DaemonID) bool { return d == daemon })
	next.revision++
	return &next
}

func (s *world) with(daemon ident.DaemonID) *world {
	next := *s.without(daemon)
	next.members = append(next.members, daemon)
	slices.Sort(next.members)
	return &next
}

func (s *world) limited(org ident.OrganisationID, limit Limit) *world {
	next := *s
	next.limits = map[ident.OrganisationID]Limit{}
	for id, l := range s.limits {
		next.limits[id] = l
	}
	next.limits[org] = limit
	return &next
}

// unreachableError is the error of a lost message.
type unreachableError struct{ to ident.DaemonID }

func (e *unreachableError) Error() string { return "no answer from " + string(e.to) }

// fate is what happens to one message.
type fate struct {
	extra       time.Duration
	lost, twice bool
}

// network carries messages between limiters with a delay, and loses, repeats and delays them as a test says.
type network struct {
	mu       sync.Mutex
	limiters map[ident.DaemonID]*Limiter
	bytes    int
	messages int
	// fates returns what happens to a message; nil for nothing.
	fates func(from, to ident.DaemonID) fate
	// after is called after a home has handled a request; tests of faulty homes use it.
	after func(home *Limiter, req *wire.GrantRequest)
	late  sync.WaitGroup
}

// port is a daemon's access to the network.
type port struct {
	network *network
	self    ident.DaemonID
}

// Grant delivers the request and the answer. Late ones are handled although the asker has given up.
func (p port) Grant(ctx context.Context, to ident.DaemonID, req *wire.GrantRequest) (*wire.GrantResponse, error) {
	raw, _ := proto.Marshal(req)
	answered := make(chan []byte, 1)
	p.network.late.Go(func() {
		if f := p.network.pass(p.self, to, len(raw)); f.lost {
			return
		} else if f.twice {
			p.network.handle(to, raw)
		}
		answer := p.network.handle(to, raw)
		if answer == nil || p.network.pass(to, p.self, len(answer)).lost {
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

// pass takes the time of a message.
func (n *network) pass(from, to ident.DaemonID, size int) fate {
	n.mu.Lock()
	n.bytes += size
	n.messages++
	var f fate
	if n.fates != nil {
		f = n.fates(from, to)
	}
	n.mu.Unlock()
	time.Sleep(oneWay + f.extra)
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
	if n.after != nil {
		n.after(l, req)
	}
	if answer == nil {
		return []byte{}
	}
	return answer
}

// start adds a daemon with a view.
func (n *network) start(id ident.DaemonID, incarnation ident.Incarnation, v View, wait time.Duration) *Limiter {
	l := &Limiter{Self: id, Incarnation: incarnation, Peers: port{network: n, self: id}, MaxWait: wait}
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
	n.late.Wait()
}

func daemonIDs(n int) []ident.DaemonID {
	ids := make([]ident.DaemonID, 0, n)
	for i := range n {
		ids = append(ids, ident.DaemonID(fmt.Sprintf("d%02d", i)))
	}
	return ids
}

// newFleet returns n daemons that share the limits.
func newFleet(n int, wait time.Duration, limits map[ident.OrganisationID]Limit) (*network, *world) {
	state := &world{members: daemonIDs(n), revision: 1, homes: 4, limits: limits}
	fleet := &network{limiters: map[ident.DaemonID]*Limiter{}}
	for _, id := range state.members {
		fleet.start(id, 1, View{States: []State{state}}, wait)
	}
	return fleet, state
}
