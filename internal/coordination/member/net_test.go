package member_test

import (
	"context"
	"time"

	"github.com/gooseberryway/gooseberryway/internal/protocol/wire"
	"github.com/gooseberryway/gooseberryway/internal/standin/fakes"
	"github.com/gooseberryway/gooseberryway/internal/state/extern"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

// logFault is what happens to the daemon's next call to the log.
func (n *node) logFault(op fakes.Operation) fakes.Fault {
	delay := n.sim.delay()
	s := n.sim
	s.mu.Lock()
	defer s.mu.Unlock()
	fault := fakes.Fault{Delay: delay, AnswerDelay: delay, Refused: s.logCut[n.id]}
	if op == fakes.OperationAppend && !fault.Refused {
		fault.Delay += s.late
		fault.Lost = s.lose
	}
	return fault
}

// gatedLog is the access of a daemon that may be paused to the log.
type gatedLog struct {
	node   *node
	client *fakes.LogClient
}

// Append implements extern.Log.
func (g *gatedLog) Append(ctx context.Context, name extern.Stream, payload []byte) (ident.Offset, error) {
	return gated(ctx, g.node, name, func() (ident.Offset, error) { return g.client.Append(ctx, name, payload) })
}

// Read implements extern.Log.
func (g *gatedLog) Read(ctx context.Context, name extern.Stream, from ident.Offset, limit int) (extern.LogBatch, error) {
	return gated(ctx, g.node, name, func() (extern.LogBatch, error) { return g.client.Read(ctx, name, from, limit) })
}

func gated[T any](ctx context.Context, n *node, name extern.Stream, do func() (T, error)) (T, error) {
	var none T
	if err := n.gate(ctx); err != nil {
		return none, &extern.LogError{Kind: extern.LogRefused, Stream: name, Err: err}
	}
	answer, err := do()
	if gateErr := n.gate(ctx); err == nil && gateErr != nil {
		return none, &extern.LogError{Kind: extern.LogUnknown, Stream: name, Err: gateErr}
	}
	return answer, err
}

// unreachableError is a message that was lost.
type unreachableError struct{}

func (*unreachableError) Error() string { return "unreachable" }

// call carries a request to another daemon and its answer back.
func call[T any](ctx context.Context, from *process, to ident.DaemonID, do func(*process) (T, error)) (T, error) {
	var none T
	s := from.node.sim
	target := s.node(to)
	if target == nil {
		return none, &unreachableError{}
	}
	if err := s.carry(ctx, from.node, target); err != nil {
		return none, err
	}
	s.mu.Lock()
	p := target.process
	s.mu.Unlock()
	if p == nil {
		return none, &unreachableError{}
	}
	answer, err := do(p)
	if err != nil {
		return none, err
	}
	return answer, s.carry(ctx, target, from.node)
}

// carry passes a message over one directed link.
func (s *sim) carry(ctx context.Context, from, to *node) error {
	if err := from.gate(ctx); err != nil {
		return err
	}
	time.Sleep(s.delay())
	s.mu.Lock()
	lost := s.cut[[2]ident.DaemonID{from.id, to.id}]
	s.mu.Unlock()
	if lost {
		<-ctx.Done()
		return &unreachableError{}
	}
	return to.gate(ctx)
}

func (s *sim) node(id ident.DaemonID) *node {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, n := range s.nodes {
		if n.id == id {
			return n
		}
	}
	return nil
}

// Heartbeat implements member.Peers.
func (p *process) Heartbeat(ctx context.Context, to ident.DaemonID, req *wire.HeartbeatRequest) (*wire.HeartbeatResponse, error) {
	return call(ctx, p, to, func(other *process) (*wire.HeartbeatResponse, error) {
		return other.fleet.HandleHeartbeat(req)
	})
}

// Relay implements replay.Peers.
func (p *process) Relay(ctx context.Context, to ident.DaemonID, req *wire.RelayRequest) (*wire.RelayResponse, error) {
	return call(ctx, p, to, func(other *process) (*wire.RelayResponse, error) {
		return other.follower.HandleRelay(req), nil
	})
}

// Snapshot implements replay.Peers.
func (p *process) Snapshot(ctx context.Context, to ident.DaemonID) ([]*wire.CheckpointChunk, error) {
	return call(ctx, p, to, func(other *process) ([]*wire.CheckpointChunk, error) {
		return other.follower.HandleSnapshot(), nil
	})
}

// partition cuts all links between the group and the rest.
func (s *sim) partition(group ...int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	in := map[ident.DaemonID]bool{}
	for _, i := range group {
		in[s.nodes[i].id] = true
	}
	for _, a := range s.nodes {
		for _, b := range s.nodes {
			s.cut[[2]ident.DaemonID{a.id, b.id}] = in[a.id] != in[b.id]
		}
	}
}

// logOnly lets only the given daemons reach the log.
func (s *sim) logOnly(reach ...int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, n := range s.nodes {
		s.logCut[n.id] = true
	}
	for _, i := range reach {
		s.logCut[s.nodes[i].id] = false
	}
}
