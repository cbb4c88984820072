// Package replay replicates the control stream, the log of configuration and membership records, to a daemon. It
// follows the stream in the log service, or at other daemons while the log service is down, applies the records in the
// order of their offsets, publishes the resulting state, and appends records and checkpoints.
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

// Peers reads records and snapshots of the control stream from other daemons.
type Peers interface {
	// Relay returns records that the daemon has applied.
	Relay(ctx context.Context, daemon ident.DaemonID, req *wire.RelayRequest) (*wire.RelayResponse, error)
	// Snapshot returns the state that is in force at the daemon, in chunks.
	Snapshot(ctx context.Context, daemon ident.DaemonID) ([]*wire.CheckpointChunk, error)
}

// Follower reads the control stream continuously and applies its records. Its fields must be set before Run.
type Follower struct {
	Log   extern.Log
	Peers Peers
	// Seeds returns the daemons that can be asked for a snapshot at the start, the nearest first; nil means none.
	Seeds func() []ident.DaemonID
	// OnChange is called after every new state and after every read that reached the tail, without locks held. It may
	// be nil.
	OnChange func()
	// HoldsLease reports whether this daemon holds the serving lease. It is only used to check an invariant; nil
	// disables the check.
	HoldsLease func() bool
	// LeaseNeedsReads reports whether the lease must be renewed by reads of the tail; nil means never.
	LeaseNeedsReads func() bool
	// PollInterval is the shortest time between reads of the tail; 0 means 400 ms.
	PollInterval time.Duration
	// ReadsPerSecond limits the rate of reads by all daemons together; 0 means 20.
	ReadsPerSecond int

	store          store
	lifecycle      scope.Scope
	readRequested  signal
	relayRequested signal
	newestPeer     atomic.Pointer[peerOffset]
	lastTailRead   atomic.Pointer[tailRead]
	bootstrapped   atomic.Bool
	snapshot       snapshotCache
}

// peerOffset is an offset that another daemon has applied.
type peerOffset struct {
	daemon ident.DaemonID
	offset ident.Offset
}

// tailRead describes a read that reached the tail: when it started, and the oldest and newest offset of the log.
type tailRead struct {
	started     time.Time
	first, tail ident.Offset
}

// Run follows the control stream until ctx is done or Close is called. It returns ctx.Err().
func (f *Follower) Run(ctx context.Context) error {
	f.init()
	ctx, leave := f.lifecycle.Enter(ctx)
	defer leave()
	done := make(chan struct{})
	f.lifecycle.Go(func() {
		f.bootstrap(ctx)
		close(done)
		f.markBootstrapped()
		f.followRelay(ctx)
	})
	select {
	case <-done:
	case <-time.After(maxSnapshotWait):
	case <-ctx.Done():
	}
	f.followLog(ctx)
	return ctx.Err()
}

// markBootstrapped records that a snapshot was loaded or is not needed.
func (f *Follower) markBootstrapped() {
	if f.bootstrapped.CompareAndSwap(false, true) {
		f.notifyChange()
	}
}

// Close stops Run and waits for all goroutines that it started.
func (f *Follower) Close() { f.lifecycle.Close() }

func (f *Follower) init() {
	f.store.init()
	f.readRequested.init()
	f.relayRequested.init()
}

// State returns the state after the last applied record.
func (f *Follower) State() *config.State {
	if state := f.store.applied.Load(); state != nil {
		return state
	}
	f.init()
	return f.store.applied.Load()
}

// InForce returns the newest state that is known to be in force: every daemon that holds a serving lease has applied
// it.
func (f *Follower) InForce() *config.State {
	f.State()
	return f.store.inForce.Load()
}

// SetInForce advances the state in force to the newest state at or below the offset and returns it.
func (f *Follower) SetInForce(offset ident.Offset) *config.State {
	f.init()
	return f.store.setInForce(offset)
}

// StateAt returns the newest state at or below the offset. It returns false if the offset is below the state in force,
// since older states are not kept.
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

// History returns the states from the one in force to the applied one, in order. It has a state for every membership
// change, but not for every other record.
func (f *Follower) History() []*config.State {
	f.init()
	f.store.mu.Lock()
	defer f.store.mu.Unlock()
	return slices.Clone(f.store.history)
}

// Outcome returns the result of a record if it is among the last 4096 that this daemon has applied.
func (f *Follower) Outcome(id ident.RecordID) (Result, bool) {
	f.init()
	f.store.mu.Lock()
	defer f.store.mu.Unlock()
	return f.store.outcomes.get(id)
}

// Bootstrapped reports whether the daemon has loaded a snapshot from another daemon, could not get one, or has read the
// log up to its tail.
func (f *Follower) Bootstrapped() bool { return f.bootstrapped.Load() }

// TailReadStarted returns when the last read that reached the tail of the stream started, with a monotonic clock
// reading. It returns the zero time if no read has reached the tail.
func (f *Follower) TailReadStarted() time.Time {
	if read := f.lastTailRead.Load(); read != nil {
		return read.started
	}
	return time.Time{}
}

// TriggerRead makes the next read of the log start at once.
func (f *Follower) TriggerRead() {
	f.init()
	f.readRequested.raise()
}

// ObservePeerOffset records that another daemon has applied the offset. If this daemon is behind, it fetches the
// missing records from there.
func (f *Follower) ObservePeerOffset(daemon ident.DaemonID, offset ident.Offset) {
	if offset <= f.State().Offset() {
		return
	}
	for {
		known := f.newestPeer.Load()
		if known != nil && known.offset >= offset {
			break
		}
		if f.newestPeer.CompareAndSwap(known, &peerOffset{daemon: daemon, offset: offset}) {
			break
		}
	}
	f.relayRequested.raise()
}

// WaitFor waits until the offset has been applied. It returns ctx.Err() if ctx is done first.
func (f *Follower) WaitFor(ctx context.Context, offset ident.Offset) error {
	return f.waitUntil(ctx, func() bool { return f.State().Offset() >= offset })
}

// waitUntil returns when done returns true. It calls done after every new state, and returns ctx.Err() if ctx is done
// first.
func (f *Follower) waitUntil(ctx context.Context, done func() bool) error {
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

// apply applies the entries that follow the applied state and reports whether there were any. An invariant is violated
// if a record says that an offset is in force that this daemon had not applied although it held the serving lease.
func (f *Follower) apply(entries []*wire.LogEntry) bool {
	serving := f.HoldsLease != nil && f.HoldsLease()
	before := f.State().Offset()
	applied := f.store.append(entries)
	known := f.State().KnownInForce()
	guard.Check(!serving || known <= before, guard.ConfigMonotonic,
		"served at offset %d while %d was in force", before, known)
	return applied
}

func (f *Follower) notifyChange() {
	if f.OnChange != nil {
		f.OnChange()
	}
}
