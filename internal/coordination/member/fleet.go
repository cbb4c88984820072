// Package member keeps a daemon's view of the fleet: who takes part, who answers, how far each has followed the
// control stream, and which records are in force.
package member

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gooseberryway/gooseberryway/internal/coordination/replay"
	"github.com/gooseberryway/gooseberryway/internal/protocol/wire"
	"github.com/gooseberryway/gooseberryway/internal/state/config"
	"github.com/gooseberryway/gooseberryway/internal/state/extern"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
	"github.com/gooseberryway/gooseberryway/internal/state/scope"
)

// Peers sends heartbeats to other daemons.
type Peers interface {
	Heartbeat(ctx context.Context, daemon ident.DaemonID, req *wire.HeartbeatRequest) (*wire.HeartbeatResponse, error)
}

// Membership is a daemon's part in the fleet. Its fields are set before Run.
type Membership struct {
	// Self describes this daemon; its incarnation and state are filled in.
	Self     config.Member
	Follower *replay.Follower
	Writer   *replay.Writer
	Peers    Peers
	// VMs is the platform's VM list, a hint only; nil for none.
	VMs extern.VMList
	// Digest returns what to tell the other daemons with the next heartbeats, OnDigest takes what another one told;
	// nil for nothing.
	Digest   func() *wire.Digest
	OnDigest func(*wire.Digest)
	// OnChange is called after every new view, without locks held; nil for none.
	OnChange func()

	// FullMeshLimit is the number of daemons up to which each sends heartbeats to all others; in a larger fleet it sends
	// them to the daemons of its group and to one of each other group, which tells of its own. 0 is 16.
	FullMeshLimit int

	life scope.Scope
	view atomic.Pointer[View]

	mu          sync.Mutex
	incarnation ident.Incarnation
	recovering  bool
	superseded  bool
	// recorded is true once the control stream has named this process.
	recorded bool
	wanted   config.MemberState
	peers    map[ident.DaemonID]*peer
	tracker  tracker
	vms      vmHint
	sets     sets
	// groups is into how many groups this daemon divides the fleet.
	groups int
	// digest is what was sent with the last heartbeats.
	digest *wire.Digest
	// ageless passes answers on as if they were new, credulous passes on old ones and recovers by what others have heard;
	// tests set them to show that the ages are needed and a recovery by answers of its own.
	ageless, credulous bool
	// amnesiac lets a restarted daemon vouch at once; tests set it to show that recovery is needed.
	amnesiac bool
}

// Run takes part in the fleet until ctx ends or Close is called. It returns ctx's error. The Follower must run.
// Run joins the fleet once the log service takes the record, and does not leave it when it returns.
func (f *Membership) Run(ctx context.Context) error {
	ctx, leave := f.life.Enter(ctx)
	defer leave()
	if !f.start(ctx) {
		return ctx.Err()
	}
	f.life.Go(func() { f.maintain(ctx) })
	f.life.Go(func() { f.watchVMs(ctx) })
	f.beat(ctx)
	return ctx.Err()
}

// Close ends Run and waits for all that it started.
func (f *Membership) Close() { f.life.Close() }

// start waits for the follower's snapshot, so that the incarnation exceeds the recorded one.
func (f *Membership) start(ctx context.Context) bool {
	for !f.Follower.Bootstrapped() {
		if !scope.Sleep(ctx, warmPollInterval) {
			return false
		}
	}
	f.mu.Lock()
	f.peers = map[ident.DaemonID]*peer{}
	f.groups = 1
	f.recovering = !f.amnesiac
	if f.wanted == "" {
		f.wanted = config.MemberJoined
	}
	f.incarnation = f.nextIncarnation()
	f.mu.Unlock()
	f.Refresh()
	return true
}

// nextIncarnation returns an incarnation above the recorded one and, as far as the VM's clock is right, above all.
func (f *Membership) nextIncarnation() ident.Incarnation {
	next := max(f.incarnation+1, ident.Incarnation(time.Now().UnixMilli()))
	if recorded, ok := f.Follower.State().Member(f.Self.ID); ok {
		next = max(next, recorded.Incarnation+1)
	}
	return next
}

// View returns the newest view; nil before Run has started.
func (f *Membership) View() *View { return f.view.Load() }

// Refresh takes in a new state or a new answer: it renews what is in force and the view. It is to be called after every
// change of the Follower.
func (f *Membership) Refresh() {
	f.mu.Lock()
	if f.incarnation == 0 {
		f.mu.Unlock()
		return
	}
	history := f.Follower.History()
	applied := history[len(history)-1]
	f.sets.prune(history)
	f.recover(applied)
	f.checkSuperseded(applied)
	inForce := history[0]
	if offset := f.advance(time.Now(), applied, history); offset > inForce.Offset() {
		inForce = f.Follower.SetInForce(offset)
	}
	f.view.Store(f.buildView(applied, inForce))
	f.mu.Unlock()
	if f.OnChange != nil {
		f.OnChange()
	}
}

// checkSuperseded notes when the control stream names a newer incarnation of this daemon. While this one has never been
// recorded, the other one is the older, from a time when the VM's clock was ahead.
func (f *Membership) checkSuperseded(applied *config.State) {
	own, ok := applied.Member(f.Self.ID)
	switch {
	case !ok || own.Incarnation < f.incarnation:
	case own.Incarnation == f.incarnation:
		f.recorded = true
	case f.recorded:
		f.superseded = true
	default:
		f.incarnation = f.nextIncarnation()
	}
}

// recover ends the recovery of a restarted daemon, which has forgotten what it acknowledged: once it has read
// the tail of the log, or once enough daemons that have forgotten nothing name no record that it lacks.
func (f *Membership) recover(applied *config.State) {
	if !f.recovering {
		return
	}
	if !f.Follower.TailReadStarted().IsZero() {
		f.recovering = false
		return
	}
	ids := f.sets.of(applied)
	heard := 0
	for _, id := range ids {
		if p := f.peers[id]; p != nil && id != f.Self.ID {
			if _, ok := p.support(applied.Offset()); ok {
				heard++
			}
		}
	}
	if len(ids) > 0 && heard >= LeaseQuorum(len(ids)) {
		f.recovering = false
	}
}
