// Package member keeps a daemon's view of the fleet. From heartbeats, relayed acknowledgements and the control stream
// it derives which daemons are members, which of them are live, which offset each has applied and which records are
// in force. It also writes this daemon's own member record and removes daemons that no longer answer.
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
	// Self describes this daemon; its Incarnation and State are filled in.
	Self     config.Member
	Follower *replay.Follower
	Writer   *replay.Writer
	Peers    Peers
	// VMs is the platform's VM list, used only to delay removals; nil if there is none.
	VMs extern.VMList
	// Digest returns the digest to send with the next heartbeats, OnDigest is called with each digest that another
	// daemon sent. Either may be nil.
	Digest   func() *wire.Digest
	OnDigest func(*wire.Digest)
	// OnChange is called after every new view, without locks held; it may be nil.
	OnChange func()

	// FullMeshLimit is the number of daemons up to which each sends heartbeats to all others. In a larger fleet each
	// sends them to the daemons of its own group and to one daemon of each other group, which relays the
	// acknowledgements of its group. 0 stands for 16.
	FullMeshLimit int

	scope scope.Scope
	view  atomic.Pointer[View]

	mu          sync.Mutex
	incarnation ident.Incarnation
	recovering  bool
	superseded  bool
	// recorded is true once the control stream has named an incarnation of this process.
	recorded    bool
	wantedState config.MemberState
	peers       map[ident.DaemonID]*peer
	tracker     inForceTracker
	vmList      vmListing
	witnessSets witnessSets
	// groupCount is the number of groups into which this daemon divides the fleet.
	groupCount int
	// digest was sent with the last heartbeats.
	digest *wire.Digest
	// ignoreRelayAge relays acknowledgements as if they were new; trustRelayed relays expired ones and lets a daemon
	// recover by relayed ones. Tests set them to show that the ages and recovery by direct acknowledgements are
	// needed.
	ignoreRelayAge, trustRelayed bool
	// skipRecovery lets a restarted daemon acknowledge records at once; tests set it to show that recovery is needed.
	skipRecovery bool
}

// Run takes part in the fleet until ctx ends or Close is called, and returns ctx's error. The Follower must be
// running. Run joins the fleet as soon as the log service accepts the member record; it does not leave the fleet when
// it returns.
func (f *Membership) Run(ctx context.Context) error {
	ctx, leave := f.scope.Enter(ctx)
	defer leave()
	if !f.start(ctx) {
		return ctx.Err()
	}
	f.scope.Go(func() { f.maintainRecords(ctx) })
	f.scope.Go(func() { f.watchVMs(ctx) })
	f.runHeartbeats(ctx)
	return ctx.Err()
}

// Close ends Run and waits for everything that it started.
func (f *Membership) Close() { f.scope.Close() }

// start waits for the follower's snapshot, so that the new incarnation exceeds the recorded one. It reports whether
// it completed before ctx ended.
func (f *Membership) start(ctx context.Context) bool {
	for !f.Follower.Bootstrapped() {
		if !scope.Sleep(ctx, bootstrapPollInterval) {
			return false
		}
	}
	f.mu.Lock()
	f.peers = map[ident.DaemonID]*peer{}
	f.groupCount = 1
	f.recovering = !f.skipRecovery
	if f.wantedState == "" {
		f.wantedState = config.MemberJoined
	}
	f.incarnation = f.nextIncarnation()
	f.mu.Unlock()
	f.Refresh()
	return true
}

// nextIncarnation returns an incarnation above the recorded one and, as far as the VM's clock is right, above all
// earlier ones.
func (f *Membership) nextIncarnation() ident.Incarnation {
	next := max(f.incarnation+1, ident.Incarnation(time.Now().UnixMilli()))
	if recorded, ok := f.Follower.State().Member(f.Self.ID); ok {
		next = max(next, recorded.Incarnation+1)
	}
	return next
}

// View returns the newest view, nil before Run has started.
func (f *Membership) View() *View { return f.view.Load() }

// Refresh applies a new state or new acknowledgements: it advances the state in force and publishes a new view. It
// must be called after every change of the Follower.
func (f *Membership) Refresh() {
	f.mu.Lock()
	if f.incarnation == 0 {
		f.mu.Unlock()
		return
	}
	history := f.Follower.History()
	applied := history[len(history)-1]
	f.witnessSets.prune(history)
	f.checkRecovered(applied)
	f.checkSuperseded(applied)
	inForce := history[0]
	if offset := f.advanceInForce(time.Now(), applied, history); offset > inForce.Offset() {
		inForce = f.Follower.SetInForce(offset)
	}
	f.view.Store(f.buildView(applied, inForce))
	f.mu.Unlock()
	if f.OnChange != nil {
		f.OnChange()
	}
}

// checkSuperseded marks this daemon as superseded when the control stream names a newer incarnation of it. If no
// incarnation of this process has been recorded, the named one is in fact older and dates from a time when the VM's
// clock was ahead; then this daemon takes a higher incarnation.
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

// checkRecovered ends the recovery of this daemon once it has read the tail of the log, or once a lease quorum of
// daemons that are not recovering names no record that it lacks. A restarted daemon must recover because it does not
// know which records it acknowledged before.
func (f *Membership) checkRecovered(applied *config.State) {
	if !f.recovering {
		return
	}
	if !f.Follower.TailReadStarted().IsZero() {
		f.recovering = false
		return
	}
	ids := f.witnessSets.forState(applied)
	supporting := 0
	for _, id := range ids {
		if p := f.peers[id]; p != nil && id != f.Self.ID {
			if _, ok := p.supportingAck(applied.Offset()); ok {
				supporting++
			}
		}
	}
	if len(ids) > 0 && supporting >= LeaseQuorum(len(ids)) {
		f.recovering = false
	}
}
