package quota

import (
	"context"
	"fmt"
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

// network carries messages between limiters with a delay, and loses, repeats and delays them as a test says.
type network struct {
	mu       sync.Mutex
	limiters map[ident.DaemonID]*Limiter
	bytes    int
	messages int
	// fault returns the extra delay of a message and whether it is lost or delivered twice; nil for none.
	fault func(from, to ident.DaemonID) (extra time.Duration, lost, twice bool)
}

// port is a daemon's access to the network.
type port struct {
	network *network
	self    ident.DaemonID
}

func (p port) Grant(ctx context.Context, to ident.DaemonID, req *wire.GrantRequest) (*wire.GrantResponse, error) {
	raw, _ := proto.Marshal(req)
	if err := p.network.pass(ctx, p.self, to, len(raw)); err != nil {
		return nil, err
	}
	resp := p.network.handle(ctx, p.self, to, raw)
	if resp == nil {
		<-ctx.Done()
		return nil, &unreachableError{to: to}
	}
	raw, _ = proto.Marshal(resp)
	if err := p.network.pass(ctx, to, p.self, len(raw)); err != nil {
		return nil, err
	}
	answer := &wire.GrantResponse{}
	return answer, proto.Unmarshal(raw, answer)
}

// pass takes a message to the other side, or blocks until the caller gives up.
func (n *network) pass(ctx context.Context, from, to ident.DaemonID, size int) error {
	n.mu.Lock()
	n.bytes += size
	n.messages++
	delay, lost := oneWay, false
	if n.fault != nil {
		var extra time.Duration
		extra, lost, _ = n.fault(from, to)
		delay += extra
	}
	n.mu.Unlock()
	if lost {
		<-ctx.Done()
		return &unreachableError{to: to}
	}
	select {
	case <-time.After(delay):
		return nil
	case <-ctx.Done():
		return &unreachableError{to: to}
	}
}

func (n *network) handle(ctx context.Context, from, to ident.DaemonID, raw []byte) *wire.GrantResponse {
	n.mu.Lock()
	l := n.limiters[to]
	twice := false
	if n.fault != nil {
		_, _, twice = n.fault(from, to)
	}
	n.mu.Unlock()
	if l == nil {
		return nil
	}
	req := &wire.GrantRequest{}
	if proto.Unmarshal(raw, req) != nil {
		return nil
	}
	resp := l.HandleGrant(ctx, req)
	if twice {
		resp = l.HandleGrant(ctx, req)
	}
	return resp
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
	for _, id := range daemonIDs(len(n.limiters)) {
		n.stop(id)
	}
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
