package member

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"k8s.io/klog/v2"

	"github.com/gooseberryway/gooseberryway/internal/coordination/replay"
	"github.com/gooseberryway/gooseberryway/internal/state/config"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
	"github.com/gooseberryway/gooseberryway/internal/state/scope"
)

// maintainRecords keeps this daemon's member record up to date and removes daemons that no longer answer, until ctx
// ends.
func (f *Membership) maintainRecords(ctx context.Context) {
	pause := recordRetryInterval
	for {
		if err := f.maintainOnce(ctx); err != nil && ctx.Err() == nil {
			klog.V(1).InfoS("Member record was not written", "err", err)
			pause = min(2*pause, maxRecordBackoff)
		} else {
			pause = recordRetryInterval
		}
		if !scope.Sleep(ctx, pause-rand.N(pause/4)) {
			return
		}
	}
}

func (f *Membership) maintainOnce(ctx context.Context) error {
	if f.Follower.TailReadStarted().IsZero() {
		return nil
	}
	if rec, needed := f.ownRecord(); needed {
		return f.writeMember(ctx, rec)
	}
	if rec, needed := f.nextRemoval(); needed {
		countRemovals.Inc()
		klog.InfoS("Removing a daemon that does not answer", "daemon", rec.ID, "incarnation", rec.Incarnation)
		return f.writeMember(ctx, rec)
	}
	return nil
}

// ownRecord returns the member record that this daemon should have and whether it must be written. After a removal by
// another daemon the record has a new incarnation.
func (f *Membership) ownRecord() (config.Member, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	state := f.Follower.State()
	own, recorded := state.Member(f.Self.ID)
	if f.superseded {
		return config.Member{}, false
	}
	if recorded && !own.State.Active() && own.Incarnation == f.incarnation && f.wantedState.Active() {
		if f.removedByOperator(state) {
			return config.Member{}, false
		}
		f.incarnation = f.nextIncarnation()
	}
	want := f.Self
	want.Incarnation = f.incarnation
	want.State = f.wantedState
	return want, !recorded || *own != want
}

// removedByOperator reports whether an operator rather than a daemon removed this daemon, so that it must not join
// again.
func (f *Membership) removedByOperator(state *config.State) bool {
	node := state.Node(config.PathOf(&config.Member{ID: f.Self.ID}))
	if node == nil {
		return false
	}
	_, byDaemon := state.Member(ident.DaemonID(node.Author))
	return !byDaemon
}

func (f *Membership) writeMember(ctx context.Context, m config.Member) error {
	ctx, cancel := context.WithTimeout(ctx, recordTimeout)
	defer cancel()
	base := f.Follower.State().Revision(config.PathOf(&m))
	_, err := f.Writer.Write(ctx, config.NewRecord(replay.NewRecordID(), string(f.Self.ID), base, &m))
	var conflict *config.ConflictError
	if errors.As(err, &conflict) {
		return nil
	}
	return err
}

// RecordLeaving records that this daemon is leaving. It returns once the record is applied; if ctx ends before, it
// returns ctx's error joined with that of the last write.
func (f *Membership) RecordLeaving(ctx context.Context) error {
	return f.changeOwnState(ctx, config.MemberLeaving)
}

// RecordLeft records that this daemon has left. It returns once the record is applied; if ctx ends before, it returns
// ctx's error joined with that of the last write.
func (f *Membership) RecordLeft(ctx context.Context) error {
	return f.changeOwnState(ctx, config.MemberRemoved)
}

func (f *Membership) changeOwnState(ctx context.Context, to config.MemberState) error {
	f.mu.Lock()
	f.wantedState = to
	f.mu.Unlock()
	var lastErr error
	for {
		rec, needed := f.ownRecord()
		if !needed {
			return nil
		}
		if err := f.writeMember(ctx, rec); err != nil {
			lastErr = err
		}
		if !scope.Sleep(ctx, recordChangeRetryInterval) {
			return errors.Join(ctx.Err(), lastErr)
		}
	}
}

// vmListing is the VM list as last read.
type vmListing struct {
	active map[ident.DaemonID]bool
	readAt time.Time
}

// watchVMs reads the VM list every vmListInterval until ctx ends.
func (f *Membership) watchVMs(ctx context.Context) {
	if f.VMs == nil {
		return
	}
	for {
		if vms, err := f.VMs.List(ctx); err == nil {
			active := map[ident.DaemonID]bool{}
			for _, vm := range vms {
				active[vm.Daemon] = !vm.Leaving
			}
			f.mu.Lock()
			f.vmList = vmListing{active: active, readAt: time.Now()}
			f.mu.Unlock()
		}
		if !scope.Sleep(ctx, vmListInterval) {
			return
		}
	}
}
