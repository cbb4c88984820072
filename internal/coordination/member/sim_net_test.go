package member_test

import (
	"context"
	"time"

	"github.com/gooseberryway/gooseberryway/internal/protocol/wire"
	"github.com/gooseberryway/gooseberryway/internal/standin/fakes"
	"github.com/gooseberryway/gooseberryway/internal/state/extern"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

// nextLogFault returns the fault of the daemon's next call to the log.
func (n *node) nextLogFault(op fakes.Operation) fakes.Fault {
	delay := n.sim.randomDelay()
	s := n.sim
	s.mu.Lock()
	defer s.mu.Unlock()
	fault := fakes.Fault{Delay: delay, ResponseDelay: delay, Refused: s.logCut[n.id]}
	if op == fakes.OperationAppend && !fault.Refused {
		fault.Delay += s.appendDelay
		fault.Lost = s.loseAppendAcks
	}
	return fault
}

// pausableLog gives a daemon access to the log and blocks its calls while the daemon is paused.
type pausableLog struct {
	node   *node
	client *fakes.LogClient
}

// Append implements extern.Log.
func (g *pausableLog) Append(ctx context.Context, name extern.Stream, payload []byte) (ident.Offset, error) {
	return callWhileRunning(ctx, g.node, name, func() (ident.Offset, error) { return g.client.Append(ctx, name, payload) })
}

// Read implements extern.Log.
func (g *pausableLog) Read(ctx context.Context, name extern.Stream, from ident.Offset, limit int) (extern.LogBatch, error) {
	return callWhileRunning(ctx, g.node, name, func() (extern.LogBatch, error) { return g.client.Read(ctx, name, from, limit) })
}

// callWhileRunning makes a call to the log and blocks its start and its result while the daemon is paused.
func callWhileRunning[T any](ctx context.Context, n *node, name extern.Stream, do func() (T, error)) (T, error) {
	var none T
	if err := n.waitWhilePaused(ctx); err != nil {
		return none, &extern.LogError{Kind: extern.LogRefused, Stream: name, Err: err}
	}
	result, err := do()
	if gateErr := n.waitWhilePaused(ctx); err == nil && gateErr != nil {
		return none, &extern.LogError{Kind: extern.LogUnknown, Stream: name, Err: gateErr}
	}
	return result, err
}

// unreachableError says that a message was lost.
type unreachableError struct{}

func (*unreachableError) Error() string { return "unreachable" }

// callPeer delivers a request to another daemon and its response back.
func callPeer[T any](ctx context.Context, from *process, to ident.DaemonID, do func(*process) (T, error)) (T, error) {
	var none T
	s := from.node.sim
	target := s.node(to)
	if target == nil {
		return none, &unreachableError{}
	}
	if err := s.deliver(ctx, from.node, target); err != nil {
		return none, err
	}
	s.mu.Lock()
	p := target.process
	s.mu.Unlock()
	if p == nil {
		return none, &unreachableError{}
	}
	result, err := do(p)
	if err != nil {
		return none, err
	}
	return result, s.deliver(ctx, target, from.node)
}

// deliver carries a message over one directed link.
func (s *sim) deliver(ctx context.Context, from, to *node) error {
	if err := from.waitWhilePaused(ctx); err != nil {
		return err
	}
	time.Sleep(s.randomDelay())
	s.mu.Lock()
	lost := s.cutLinks[[2]ident.DaemonID{from.id, to.id}]
	s.mu.Unlock()
	if lost {
		<-ctx.Done()
		return &unreachableError{}
	}
	return to.waitWhilePaused(ctx)
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
	return callPeer(ctx, p, to, func(other *process) (*wire.HeartbeatResponse, error) {
		return other.membership.HandleHeartbeat(req)
	})
}

// Relay implements replay.Peers.
func (p *process) Relay(ctx context.Context, to ident.DaemonID, req *wire.RelayRequest) (*wire.RelayResponse, error) {
	return callPeer(ctx, p, to, func(other *process) (*wire.RelayResponse, error) {
		return other.follower.HandleRelay(req), nil
	})
}

// Snapshot implements replay.Peers.
func (p *process) Snapshot(ctx context.Context, to ident.DaemonID) ([]*wire.CheckpointChunk, error) {
	return callPeer(ctx, p, to, func(other *process) ([]*wire.CheckpointChunk, error) {
		return other.follower.HandleSnapshot(), nil
	})
}

// partition cuts all links between the given daemons and the others, and restores all other links.
func (s *sim) partition(group ...int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	inGroup := map[ident.DaemonID]bool{}
	for _, i := range group {
		inGroup[s.nodes[i].id] = true
	}
	for _, a := range s.nodes {
		for _, b := range s.nodes {
			s.cutLinks[[2]ident.DaemonID{a.id, b.id}] = inGroup[a.id] != inGroup[b.id]
		}
	}
}

// limitLogTo lets only the given daemons reach the log.
func (s *sim) limitLogTo(allowed ...int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, n := range s.nodes {
		s.logCut[n.id] = true
	}
	for _, i := range allowed {
		s.logCut[s.nodes[i].id] = false
	}
}
