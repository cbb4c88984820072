package member

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"k8s.io/klog/v2"

	"github.com/gooseberryway/gooseberryway/internal/protocol/wire"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
	"github.com/gooseberryway/gooseberryway/internal/state/scope"
)

// beat sends heartbeats until ctx ends. Daemons that start together beat at different times.
func (f *Membership) beat(ctx context.Context) {
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

// beatAll sends one heartbeat to everyone who is due.
func (f *Membership) beatAll(ctx context.Context) {
	targets := f.targets()
	if len(targets) == 0 {
		return
	}
	var digest *wire.Digest
	if f.Digest != nil {
		digest = f.Digest()
		f.mu.Lock()
		f.digest = digest
		f.mu.Unlock()
	}
	for _, t := range targets {
		f.life.Go(func() { f.beatOne(ctx, t, digest) })
	}
}

// targets returns the daemons that are due for a heartbeat and marks them.
func (f *Membership) targets() []target {
	f.mu.Lock()
	defer f.mu.Unlock()
	due := f.due()
	f.forget(due)
	for _, p := range f.peers {
		p.silent = true
	}
	var targets []target
	for _, t := range f.choose(slices.Sorted(maps.Keys(due))) {
		p := f.peer(t.id)
		p.silent = false
		if !p.inFlight {
			p.inFlight = true
			targets = append(targets, t)
		}
	}
	now := time.Now()
	for _, p := range f.peers {
		if p.silent {
			p.countSilence(now)
		}
	}
	return targets
}

// due returns the other witnesses of the states that are not surely out of use.
func (f *Membership) due() map[ident.DaemonID]bool {
	history := f.Follower.History()
	newest := history[len(history)-1]
	due := map[ident.DaemonID]bool{}
	for _, ids := range f.sets.views(history, newest, newest.Offset()) {
		for _, id := range ids {
			due[id] = true
		}
	}
	delete(due, f.Self.ID)
	return due
}

// forget drops daemons that are in no view and silent.
func (f *Membership) forget(due map[ident.DaemonID]bool) {
	for id, p := range f.peers {
		if !due[id] && !p.inFlight && time.Since(p.heard) > forgetAfter {
			delete(f.peers, id)
		}
	}
}

// peer is called with mu held.
func (f *Membership) peer(id ident.DaemonID) *peer {
	p := f.peers[id]
	if p == nil {
		p = &peer{created: time.Now()}
		f.peers[id] = p
	}
	return p
}

func (f *Membership) beatOne(ctx context.Context, t target, digest *wire.Digest) {
	ctx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	req := f.request(digest)
	req.Relay = t.relay
	sent := time.Now()
	resp, err := f.Peers.Heartbeat(ctx, t.id, req)
	if err == nil && ident.DaemonID(resp.GetDaemonId()) != t.id {
		klog.InfoS("Heartbeat was answered by another daemon", "asked", t.id, "answered", resp.GetDaemonId())
		err = &SupersededError{Daemon: t.id}
	}
	countHeartbeats.Inc()
	if err != nil {
		countHeartbeatsMissed.Inc()
		f.missed(t.id)
		return
	}
	f.take(resp, sent)
	for _, d := range resp.GetDigests() {
		if f.OnDigest != nil && ident.DaemonID(d.GetDaemonId()) != f.Self.ID {
			f.OnDigest(d)
		}
	}
	f.Refresh()
}

func (f *Membership) missed(id ident.DaemonID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	p := f.peer(id)
	p.inFlight = false
	p.misses++
	p.missedAt = time.Now()
}

// take keeps the answer to a heartbeat and what it tells of others.
func (f *Membership) take(resp *wire.HeartbeatResponse, sent time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	a := answerOf(resp, sent)
	p := f.peer(a.Daemon)
	p.inFlight = false
	if p.meet(a.Incarnation, a.Applied) {
		p.keep(a)
		p.direct = a
	}
	f.Follower.ObservePeerOffset(a.Daemon, a.Applied)
	history := f.Follower.History()
	for _, h := range resp.GetHeard() {
		f.hear(a.Daemon, h, sent, history)
	}
}

func (f *Membership) request(digest *wire.Digest) *wire.HeartbeatRequest {
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
func (f *Membership) HandleHeartbeat(req *wire.HeartbeatRequest) (*wire.HeartbeatResponse, error) {
	id := ident.DaemonID(req.GetDaemonId())
	resp, err := f.answer(id, req)
	if err != nil {
		return nil, err
	}
	f.Follower.ObservePeerOffset(id, ident.Offset(req.GetAppliedOffset()))
	if digest := req.GetDigest(); digest != nil && f.OnDigest != nil {
		f.OnDigest(digest)
	}
	return resp, nil
}

func (f *Membership) answer(id ident.DaemonID, req *wire.HeartbeatRequest) (*wire.HeartbeatResponse, error) {
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
		p := f.peer(id)
		p.meet(incarnation, ident.Offset(req.GetAppliedOffset()))
		f.keepDigest(p, req.GetDigest())
	}
	resp := &wire.HeartbeatResponse{
		DaemonId:      string(f.Self.ID),
		Incarnation:   uint64(f.incarnation),
		AppliedOffset: uint64(state.Offset()),
		Recovering:    f.recovering,
	}
	if req.GetRelay() {
		now := time.Now()
		resp.Heard, resp.Digests = f.tell(now, state), f.digests(now)
	}
	return resp, nil
}

// knownIncarnation returns the newest incarnation of a daemon that was recorded or heard.
func (f *Membership) knownIncarnation(id ident.DaemonID) ident.Incarnation {
	var known ident.Incarnation
	if m, ok := f.Follower.State().Member(id); ok {
		known = m.Incarnation
	}
	if p := f.peers[id]; p != nil {
		known = max(known, p.incarnation)
	}
	return known
}
