// Package replay keeps a daemon's copy of the control stream: it follows the log service, or other daemons while
// the log service is down, publishes the state after each record, and writes records and checkpoints.
package replay

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	"github.com/gooseberryway/gooseberryway/internal/protocol/wire"
	"github.com/gooseberryway/gooseberryway/internal/state/config"
	"github.com/gooseberryway/gooseberryway/internal/state/extern"
	"github.com/gooseberryway/gooseberryway/internal/state/guard"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
	"github.com/gooseberryway/gooseberryway/internal/state/scope"
)

// Peers reads the control stream from other daemons.
type Peers interface {
	// Relay reads records that the daemon has applied.
	Relay(ctx context.Context, daemon ident.DaemonID, req *wire.RelayRequest) (*wire.RelayResponse, error)
	// Snapshot reads the state that is in force at the daemon.
	Snapshot(ctx context.Context, daemon ident.DaemonID) ([]*wire.CheckpointChunk, error)
}

// Follower follows the control stream. Its fields are set before Run.
type Follower struct {
	Log   extern.Log
	Peers Peers
	// Seeds returns daemons that a start can ask for a snapshot, the nearest first; nil for none.
	Seeds func() []ident.DaemonID
	// OnChange is called after every new state and every read that reached the tail, without locks held; nil for none.
	OnChange func()
	// HoldsLease reports whether this daemon holds the serving lease; it is for checking invariants only, nil for no check.
	HoldsLease func() bool
	// LeaseNeedsReads reports whether reads of the tail must keep the lease alive; nil for never.
	LeaseNeedsReads func() bool
	// PollInterval is the shortest time between reads of the tail; 0 is 400 ms.
	PollInterval time.Duration
	// ReadsPerSecond bounds the reads of all daemons together; 0 is 20.
	ReadsPerSecond int

	store    store
	life     scope.Scope
	kick     signal
	hinted   signal
	hint     atomic.Pointer[hint]
	tail     atomic.Pointer[tailRead]
	warm     atomic.Bool
	snapshot snapshotCache
}

type hint struct {
	daemon ident.DaemonID
	offset ident.Offset
}

// tailRead describes a read that reached the tail.
type tailRead struct {
	started     time.Time
	first, tail ident.Offset
}

// Run follows the stream until ctx ends or Close is called. It returns ctx's error.
func (f *Follower) Run(ctx context.Context) error {
	f.init()
	ctx, leave := f.life.Enter(ctx)
	defer leave()
	done := make(chan struct{})
	f.life.Go(func() {
		f.bootstrap(ctx)
		close(done)
		f.warmed()
		f.followRelay(ctx)
	})
	select {
	case <-done:
	case <-time.After(snapshotHead):
	case <-ctx.Done():
	}
	f.followLog(ctx)
	return ctx.Err()
}

// warmed notes that a snapshot was loaded or is not needed.
func (f *Follower) warmed() {
	if f.warm.CompareAndSwap(false, true) {
		f.notify()
	}
}

// Close ends Run and waits for all that it started.
func (f *Follower) Close() { f.life.Close() }

func (f *Follower) init() {
	f.store.init()
	f.kick.init()
	f.hinted.init()
}

// State returns the state after the last record applied.
func (f *Follower) State() *config.State {
	if state := f.store.applied.Load(); state != nil {
		return state
	}
	f.init()
	return f.store.applied.Load()
}

// InForce returns the newest state that is known to be in force: no daemon that holds a serving lease is behind it.
func (f *Follower) InForce() *config.State {
	f.State()
	return f.store.inForce.Load()
}

// SetInForce moves the state in force up to the newest one at or below the offset and returns it.
func (f *Follower) SetInForce(offset ident.Offset) *config.State {
	f.init()
	return f.store.setInForce(offset)
}

// StateAt returns the newest state at or below the offset, from the one in force on; false if the offset is older.
func (f *Follower) StateAt(offset ident.Offset) (*config.State, bool) {
	f.init()
	f.store.mu.Lock()
	defer f.store.mu.Unlock()
	i := f.store.newestAt(offset)
	if i < 0 {
		return nil, false
	}
	return f.store.history[i], true
}

// History returns the states from the one in force to the applied one, in order. It holds a state for every change
// of the members, and not all others.
func (f *Follower) History() []*config.State {
	f.init()
	f.store.mu.Lock()
	defer f.store.mu.Unlock()
	return slices.Clone(f.store.history)
}

// Outcome returns what became of a record, if it is one of the last that this daemon has applied.
func (f *Follower) Outcome(id ident.RecordID) (Result, bool) {
	f.init()
	f.store.mu.Lock()
	defer f.store.mu.Unlock()
	return f.store.outcomes.get(id)
}

// Bootstrapped reports whether a start has loaded a snapshot from another daemon, found that there is none or read the log.
func (f *Follower) Bootstrapped() bool { return f.warm.Load() }

// TailReadStarted returns when the last read that reached the tail of the stream was started, with the clock's
// monotonic reading; the zero time if there was none.
func (f *Follower) TailReadStarted() time.Time {
	if read := f.tail.Load(); read != nil {
		return read.started
	}
	return time.Time{}
}

// TriggerRead asks for a read of the log now.
func (f *Follower) TriggerRead() {
	f.init()
	f.kick.raise()
}

// ObservePeerOffset tells that the daemon has applied the offset, so that its records can be had from there.
func (f *Follower) ObservePeerOffset(daemon ident.DaemonID, offset ident.Offset) {
	if offset <= f.State().Offset() {
		return
	}
	for {
		known := f.hint.Load()
		if known != nil && known.offset >= offset {
			break
		}
		if f.hint.CompareAndSwap(known, &hint{daemon: daemon, offset: offset}) {
			break
		}
	}
	f.hinted.raise()
}

// WaitFor returns when the offset has been applied, or with ctx's error.
func (f *Follower) WaitFor(ctx context.Context, offset ident.Offset) error {
	return f.wait(ctx, func() bool { return f.State().Offset() >= offset })
}

// wait returns when done reports true; it asks after every new state.
func (f *Follower) wait(ctx context.Context, done func() bool) error {
	f.init()
	for {
		f.store.mu.Lock()
		changed := f.store.changed
		f.store.mu.Unlock()
		if done() {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// apply applies entries that follow and reports whether any was new. A record that names an offset as being in force,
// which this daemon had not applied while it served, shows that the rules of the lease were broken.
func (f *Follower) apply(entries []*wire.LogEntry) bool {
	serving := f.HoldsLease != nil && f.HoldsLease()
	before := f.State().Offset()
	applied := f.store.append(entries)
	known := f.State().KnownInForce()
	guard.Check(!serving || known <= before, guard.ConfigMonotonic,
		"served at offset %d while %d was in force", before, known)
	return applied
}

func (f *Follower) notify() {
	if f.OnChange != nil {
		f.OnChange()
	}
}
