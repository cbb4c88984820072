package member

import (
	"context"
	"math/rand/v2"
	"time"

	"k8s.io/klog/v2"

	"github.com/gooseberryway/gooseberryway/internal/protocol/wire"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
	"github.com/gooseberryway/gooseberryway/internal/state/scope"
)

// beat sends heartbeats until ctx ends. Daemons that start together beat at different times.
func (f *Fleet) beat(ctx context.Context) {
	f.beatAll(ctx)
	if !scope.Sleep(ctx, rand.N(HeartbeatInterval)) {
		return
	}
	ticker := time.NewTicker(HeartbeatInterval)
	defer ticker.Stop()
	for {
		f.beatAll(ctx)
		f.Refresh()
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// beatAll sends one heartbeat to every witness of the states that are not surely out of use.
func (f *Fleet) beatAll(ctx context.Context) {
	targets := f.targets()
	if len(targets) == 0 {
		return
	}
	var digest *wire.Digest
	if f.Digest != nil {
		digest = f.Digest()
	}
	for _, id := range targets {
		f.life.Go(func() { f.beatOne(ctx, id, digest) })
	}
}

// targets returns the daemons that are due for a heartbeat and marks them.
func (f *Fleet) targets() []ident.DaemonID {
	f.mu.Lock()
	defer f.mu.Unlock()
	history := f.Follower.History()
	newest := history[len(history)-1]
	due := map[ident.DaemonID]bool{}
	for _, ids := range f.sets.views(history, newest, newest.Offset()) {
		for _, id := range ids {
			due[id] = id != f.Self.ID
		}
	}
	f.forget(due)
	var targets []ident.DaemonID
	for id, wanted := range due {
		p := f.peer(id)
		if wanted && !p.inFlight {
			p.inFlight = true
			targets = append(targets, id)
		}
	}
	return targets
}

// forget drops daemons that are in no view and silent.
func (f *Fleet) forget(due map[ident.DaemonID]bool) {
	for id, p := range f.peers {
		if !due[id] && !p.inFlight && time.Since(p.heard) > forgetAfter {
			delete(f.peers, id)
		}
	}
}

// peer is called with mu held.
func (f *Fleet) peer(id ident.DaemonID) *peer {
	p := f.peers[id]
	if p == nil {
		p = &peer{}
		f.peers[id] = p
	}
	return p
}

func (f *Fleet) beatOne(ctx context.Context, id ident.DaemonID, digest *wire.Digest) {
	ctx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	req := f.request(digest)
	sent := time.Now()
	resp, err := f.Peers.Heartbeat(ctx, id, req)
	if err == nil && ident.DaemonID(resp.GetDaemonId()) != id {
		klog.InfoS("Heartbeat was answered by another daemon", "asked", id, "answered", resp.GetDaemonId())
		err = &SupersededError{Daemon: id}
	}
	countHeartbeats.Inc()
	f.mu.Lock()
	p := f.peer(id)
	p.inFlight = false
	if err != nil {
		countHeartbeatsMissed.Inc()
		p.misses++
		f.mu.Unlock()
		return
	}
	a := answerOf(resp, sent)
	if p.meet(a.Incarnation, a.Applied) {
		p.keep(a)
	}
	f.mu.Unlock()
	f.Follower.Learn(id, a.Applied)
	f.Refresh()
}

func (f *Fleet) request(digest *wire.Digest) *wire.HeartbeatRequest {
	f.mu.Lock()
	defer f.mu.Unlock()
	return &wire.HeartbeatRequest{
		DaemonId:      string(f.Self.ID),
		Incarnation:   uint64(f.incarnation),
		AppliedOffset: uint64(f.Follower.State().Offset()),
		Recovering:    f.recovering,
		Digest:        digest,
	}
}

// HandleHeartbeat answers a heartbeat of another daemon. The error is a *SupersededError for an old incarnation
// or a *StartingError.
func (f *Fleet) HandleHeartbeat(req *wire.HeartbeatRequest) (*wire.HeartbeatResponse, error) {
	id := ident.DaemonID(req.GetDaemonId())
	resp, err := f.answer(id, req)
	if err != nil {
		return nil, err
	}
	f.Follower.Learn(id, ident.Offset(req.GetAppliedOffset()))
	if digest := req.GetDigest(); digest != nil && f.OnDigest != nil {
		f.OnDigest(digest)
	}
	return resp, nil
}

func (f *Fleet) answer(id ident.DaemonID, req *wire.HeartbeatRequest) (*wire.HeartbeatResponse, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.incarnation == 0 {
		return nil, &StartingError{}
	}
	state := f.Follower.State()
	known := f.knownIncarnation(id)
	incarnation := ident.Incarnation(req.GetIncarnation())
	if incarnation < known || (id == f.Self.ID && incarnation != f.incarnation) {
		return nil, &SupersededError{Daemon: id, Incarnation: incarnation, Known: known}
	}
	if id != f.Self.ID {
		f.peer(id).meet(incarnation, ident.Offset(req.GetAppliedOffset()))
	}
	return &wire.HeartbeatResponse{
		DaemonId:      string(f.Self.ID),
		Incarnation:   uint64(f.incarnation),
		AppliedOffset: uint64(state.Offset()),
		Recovering:    f.recovering,
	}, nil
}

// knownIncarnation returns the newest incarnation of a daemon that was recorded or heard.
func (f *Fleet) knownIncarnation(id ident.DaemonID) ident.Incarnation {
	var known ident.Incarnation
	if m, ok := f.Follower.State().Member(id); ok {
		known = m.Incarnation
	}
	if p := f.peers[id]; p != nil {
		known = max(known, p.incarnation)
	}
	return known
}
