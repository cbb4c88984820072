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

// maintain keeps this daemon's record as wanted and removes daemons that are gone, until ctx ends.
func (f *Membership) maintain(ctx context.Context) {
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
		return f.write(ctx, rec)
	}
	if rec, needed := f.removal(); needed {
		countRemovals.Inc()
		klog.InfoS("Removing a daemon that does not answer", "daemon", rec.ID, "incarnation", rec.Incarnation)
		return f.write(ctx, rec)
	}
	return nil
}

// ownRecord returns the record that this daemon should have, and whether it must be written.
func (f *Membership) ownRecord() (config.Member, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	state := f.Follower.State()
	own, recorded := state.Member(f.Self.ID)
	if f.superseded {
		return config.Member{}, false
	}
	if recorded && !own.State.Active() && own.Incarnation == f.incarnation && f.wanted.Active() {
		if f.removedByOperator(state) {
			return config.Member{}, false
		}
		f.incarnation = f.nextIncarnation()
	}
	want := f.Self
	want.Incarnation = f.incarnation
	want.State = f.wanted
	return want, !recorded || *own != want
}

// removedByOperator reports whether an operator removed this daemon, so that it stays out.
func (f *Membership) removedByOperator(state *config.State) bool {
	node := state.Node(config.PathOf(&config.Member{ID: f.Self.ID}))
	if node == nil {
		return false
	}
	_, byDaemon := state.Member(ident.DaemonID(node.Author))
	return !byDaemon
}

func (f *Membership) write(ctx context.Context, m config.Member) error {
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

// RecordLeaving records that this daemon is leaving, and returns when the record is applied or ctx ends.
func (f *Membership) RecordLeaving(ctx context.Context) error {
	return f.change(ctx, config.MemberLeaving)
}

// RecordLeft records that this daemon has left, and returns when the record is applied or ctx ends.
func (f *Membership) RecordLeft(ctx context.Context) error {
	return f.change(ctx, config.MemberRemoved)
}

func (f *Membership) change(ctx context.Context, to config.MemberState) error {
	f.mu.Lock()
	f.wanted = to
	f.mu.Unlock()
	var last error
	for {
		rec, needed := f.ownRecord()
		if !needed {
			return nil
		}
		if err := f.write(ctx, rec); err != nil {
			last = err
		}
		if !scope.Sleep(ctx, recordChangePause) {
			return errors.Join(ctx.Err(), last)
		}
	}
}

// vmHint is the last VM list.
type vmHint struct {
	listed map[ident.DaemonID]bool
	read   time.Time
}

// watchVMs reads the VM list until ctx ends.
func (f *Membership) watchVMs(ctx context.Context) {
	if f.VMs == nil {
		return
	}
	for {
		if vms, err := f.VMs.List(ctx); err == nil {
			listed := map[ident.DaemonID]bool{}
			for _, vm := range vms {
				listed[vm.Daemon] = !vm.Leaving
			}
			f.mu.Lock()
			f.vms = vmHint{listed: listed, read: time.Now()}
			f.mu.Unlock()
		}
		if !scope.Sleep(ctx, vmListInterval) {
			return
		}
	}
}
