// Package events publishes the cache events and load reports of a stand-in as real engines do: late and with gaps.
package events

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/gooseberryway/gooseberryway/internal/state/extern"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

// Feed keeps the latest events. Set the exported fields before the first call.
type Feed struct {
	// Lag is the time from an event to its delivery.
	Lag time.Duration
	// LossRate is the share of events, 0 to 1, that are never delivered.
	LossRate float64
	// Seed makes the choice of lost events repeatable.
	Seed uint64
	// CachedBlocks returns everything that the cache holds, for a resync.
	CachedBlocks func() []ident.BlockHash

	mu          sync.Mutex
	incarnation ident.Incarnation
	sequence    ident.Sequence
	kept        []entry
	reports     []report
	changed     chan struct{}
	random      *rand.Rand
}

type entry struct {
	event extern.CacheEvent
	at    time.Time
	lost  bool
}

// report is a load report and the time that it describes.
type report struct {
	load extern.LoadReport
	at   time.Time
}

// Reset starts a new incarnation without events.
func (f *Feed) Reset(incarnation ident.Incarnation) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.incarnation = incarnation
	f.sequence = 0
	f.kept = nil
	f.reports = nil
	f.wake()
}

// SetLossRate changes the share of events that are never delivered.
func (f *Feed) SetLossRate(share float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.LossRate = share
}

// Publish adds an event.
func (f *Feed) Publish(added, removed []ident.BlockHash) {
	if len(added)+len(removed) == 0 {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.random == nil {
		f.random = rand.New(rand.NewPCG(f.Seed, f.Seed))
	}
	f.sequence++
	f.kept = append(f.kept, entry{
		event: extern.CacheEvent{
			Position: extern.EnginePosition{Incarnation: f.incarnation, Sequence: f.sequence},
			Added:    added,
			Removed:  removed,
		},
		at:   time.Now().Add(f.Lag),
		lost: f.random.Float64() < f.LossRate,
	})
	if len(f.kept) > maxKept {
		f.kept = append([]entry(nil), f.kept[maxKept/2:]...)
	}
	f.wake()
}

// Report adds a load report.
func (f *Feed) Report(load extern.LoadReport) {
	f.mu.Lock()
	defer f.mu.Unlock()
	load.Incarnation = f.incarnation
	f.reports = append(f.reports, report{load: load, at: time.Now()})
	for len(f.reports) > 1 && time.Since(f.reports[1].at) >= f.Lag {
		f.reports = f.reports[1:]
	}
	f.wake()
}

// ResetError ends a Watch whose feed has started a new incarnation.
type ResetError struct{}

func (e *ResetError) Error() string { return "a new incarnation has started" }

// Heartbeat is delivered when nothing else was for a while, so that a reader can tell a quiet feed from a dead one.
type Heartbeat struct{}

// Watch delivers events after the position until ctx ends, deliver fails or a new incarnation starts. It begins with
// a resync when the position is zero, of another incarnation or older than what is kept.
func (f *Feed) Watch(ctx context.Context, from extern.EnginePosition, deliver func(any) error) error {
	w := watcher{feed: f, at: from, first: true}
	started := f.current()
	for {
		if f.current() != started {
			return &ResetError{}
		}
		batch, wait, changed := w.collect(time.Now())
		for _, event := range batch {
			if err := deliver(event); err != nil {
				return err
			}
		}
		if len(batch) > 0 {
			continue
		}
		quiet, err := idle(ctx, wait, changed)
		if err != nil {
			return err
		}
		if quiet {
			if err := deliver(Heartbeat{}); err != nil {
				return err
			}
		}
	}
}

// idle waits until something is due or changed, and reports whether neither came for long. A wait of 0 is none.
func idle(ctx context.Context, wait time.Duration, changed <-chan struct{}) (quiet bool, err error) {
	quiet = wait <= 0 || wait > heartbeatEvery
	if quiet {
		wait = heartbeatEvery
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return quiet, nil
	case <-changed:
		return false, nil
	case <-ctx.Done():
		return false, ctx.Err()
	}
}

func (f *Feed) current() ident.Incarnation {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.incarnation
}

func (f *Feed) wake() {
	if f.changed != nil {
		close(f.changed)
		f.changed = nil
	}
}
