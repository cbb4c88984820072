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

// runHeartbeats sends heartbeats until ctx ends. A random first pause spreads the heartbeats of daemons that start
// together.
func (f *Membership) runHeartbeats(ctx context.Context) {
	f.sendHeartbeats(ctx)
	if !scope.Sleep(ctx, rand.N(HeartbeatInterval)) {
		return
	}
	ticker := time.NewTicker(HeartbeatInterval)
	defer ticker.Stop()
	for {
		f.sendHeartbeats(ctx)
		f.Refresh()
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// sendHeartbeats starts one heartbeat to each target. It does not wait for the answers.
func (f *Membership) sendHeartbeats(ctx context.Context) {
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
		f.scope.Go(func() { f.sendHeartbeat(ctx, t, digest) })
	}
}

// targets returns the daemons to which a heartbeat is due, except those that have not answered the last one yet, and
// marks the returned ones as in flight.
func (f *Membership) targets() []target {
	f.mu.Lock()
	defer f.mu.Unlock()
	due := f.dueWitnesses()
	f.dropInactivePeers(due)
	for _, p := range f.peers {
		p.notTargeted = true
	}
	var targets []target
	for _, t := range f.chooseTargets(slices.Sorted(maps.Keys(due))) {
		p := f.peer(t.id)
		p.notTargeted = false
		if !p.inFlight {
			p.inFlight = true
			targets = append(targets, t)
		}
	}
	now := time.Now()
	for _, p := range f.peers {
		if p.notTargeted {
			p.countRelayedMisses(now)
		}
	}
	return targets
}

// dueWitnesses returns the other witnesses of every state from the one in force to the newest, which are all the
// states that a daemon may still use. Daemons that are dead in the newest state are left out.
func (f *Membership) dueWitnesses() map[ident.DaemonID]bool {
	history := f.Follower.History()
	newest := history[len(history)-1]
	due := map[ident.DaemonID]bool{}
	for _, ids := range f.witnessSets.quorumSets(history, newest, newest.Offset()) {
		for _, id := range ids {
			due[id] = true
		}
	}
	delete(due, f.Self.ID)
	return due
}

// dropInactivePeers drops peers that are not due and have been silent for inactivePeerTTL.
func (f *Membership) dropInactivePeers(due map[ident.DaemonID]bool) {
	for id, p := range f.peers {
		if !due[id] && !p.inFlight && time.Since(p.lastSeen) > inactivePeerTTL {
			delete(f.peers, id)
		}
	}
}

// peer returns the entry of a daemon and creates it if there is none. It is called with mu held.
func (f *Membership) peer(id ident.DaemonID) *peer {
	p := f.peers[id]
	if p == nil {
		p = &peer{createdAt: time.Now()}
		f.peers[id] = p
	}
	return p
}

func (f *Membership) sendHeartbeat(ctx context.Context, t target, digest *wire.Digest) {
	ctx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	req := f.newRequest(digest)
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
		f.recordMiss(t.id)
		return
	}
	f.applyResponse(resp, sent)
	for _, d := range resp.GetDigests() {
		if f.OnDigest != nil && ident.DaemonID(d.GetDaemonId()) != f.Self.ID {
			f.OnDigest(d)
		}
	}
	f.Refresh()
}

func (f *Membership) recordMiss(id ident.DaemonID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	p := f.peer(id)
	p.inFlight = false
	p.misses++
	p.missedAt = time.Now()
}

// applyResponse records the acknowledgement of a heartbeat and the acknowledgements relayed with it.
func (f *Membership) applyResponse(resp *wire.HeartbeatResponse, sent time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	a := ackOf(resp, sent)
	p := f.peer(a.Daemon)
	p.inFlight = false
	if p.observe(a.Incarnation, a.Applied) {
		p.addAck(a)
		p.directAck = a
	}
	f.Follower.ObservePeerOffset(a.Daemon, a.Applied)
	history := f.Follower.History()
	for _, h := range resp.GetHeard() {
		f.applyRelayedAcks(a.Daemon, h, sent, history)
	}
}

func (f *Membership) newRequest(digest *wire.Digest) *wire.HeartbeatRequest {
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

// HandleHeartbeat answers a heartbeat of another daemon. It returns a *SupersededError if the heartbeat is of an old
// incarnation, and a *StartingError before this daemon has started.
func (f *Membership) HandleHeartbeat(req *wire.HeartbeatRequest) (*wire.HeartbeatResponse, error) {
	id := ident.DaemonID(req.GetDaemonId())
	resp, err := f.respond(id, req)
	if err != nil {
		return nil, err
	}
	f.Follower.ObservePeerOffset(id, ident.Offset(req.GetAppliedOffset()))
	if digest := req.GetDigest(); digest != nil && f.OnDigest != nil {
		f.OnDigest(digest)
	}
	return resp, nil
}

func (f *Membership) respond(id ident.DaemonID, req *wire.HeartbeatRequest) (*wire.HeartbeatResponse, error) {
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
		p.observe(incarnation, ident.Offset(req.GetAppliedOffset()))
		f.storeDigest(p, req.GetDigest())
	}
	resp := &wire.HeartbeatResponse{
		DaemonId:      string(f.Self.ID),
		Incarnation:   uint64(f.incarnation),
		AppliedOffset: uint64(state.Offset()),
		Recovering:    f.recovering,
	}
	if req.GetRelay() {
		now := time.Now()
		resp.Heard, resp.Digests = f.relayedAcks(now, state), f.relayedDigests(now)
	}
	return resp, nil
}

// knownIncarnation returns the newest incarnation of a daemon that the control stream or a message has named.
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
