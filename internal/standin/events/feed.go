// Package events delivers the cache events and load reports of a stand-in engine or KV cache store to any number of
// watchers. Like the feeds of real engines, it delivers them with a lag, may lose events, and sends a resync with the
// whole content of the cache to watchers that are too far behind.
package events

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/gooseberryway/gooseberryway/internal/state/extern"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

// Feed buffers the latest events for its watchers. Set the exported fields before the first call. The methods are safe
// for concurrent use.
type Feed struct {
	// Lag is the time from an event to its delivery.
	Lag time.Duration
	// LossRate is the share of cache events, 0 to 1, that are never delivered. Their sequence numbers are used up.
	LossRate float64
	// Seed seeds the random choice of lost events.
	Seed uint64
	// CachedBlocks returns the hashes of all blocks in the cache, for a resync. It is called without the feed's lock.
	CachedBlocks func() []ident.BlockHash

	mu          sync.Mutex
	incarnation ident.Incarnation
	sequence    ident.Sequence
	buffer      []bufferedEvent
	reports     []report
	changed     chan struct{}
	random      *rand.Rand
}

// bufferedEvent is a cache event, the time from which it is delivered, and whether it is lost instead.
type bufferedEvent struct {
	event extern.CacheEvent
	dueAt time.Time
	lost  bool
}

// report is a load report and the time at which the load was measured.
type report struct {
	load       extern.LoadReport
	measuredAt time.Time
}

// Reset drops all events and reports and starts a new incarnation, which ends every Watch.
func (f *Feed) Reset(incarnation ident.Incarnation) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.incarnation = incarnation
	f.sequence = 0
	f.buffer = nil
	f.reports = nil
	f.notifyWatchers()
}

// SetLossRate changes the share of later cache events, 0 to 1, that are never delivered.
func (f *Feed) SetLossRate(rate float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.LossRate = rate
}

// Publish adds a cache event; it does nothing if no blocks were added or removed.
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
	f.buffer = append(f.buffer, bufferedEvent{
		event: extern.CacheEvent{
			Position: extern.EnginePosition{Incarnation: f.incarnation, Sequence: f.sequence},
			Added:    added,
			Removed:  removed,
		},
		dueAt: time.Now().Add(f.Lag),
		lost:  f.random.Float64() < f.LossRate,
	})
	if len(f.buffer) > maxBufferedEvents {
		f.buffer = append([]bufferedEvent(nil), f.buffer[maxBufferedEvents/2:]...)
	}
	f.notifyWatchers()
}

// Report adds a load report, measured now.
func (f *Feed) Report(load extern.LoadReport) {
	f.mu.Lock()
	defer f.mu.Unlock()
	load.Incarnation = f.incarnation
	f.reports = append(f.reports, report{load: load, measuredAt: time.Now()})
	for len(f.reports) > 1 && time.Since(f.reports[1].measuredAt) >= f.Lag {
		f.reports = f.reports[1:]
	}
	f.notifyWatchers()
}

// ResetError is returned by Watch when the feed has started a new incarnation.
type ResetError struct{}

func (e *ResetError) Error() string { return "a new incarnation has started" }

// Heartbeat is delivered after 5 s without events, so that a watcher can tell an idle feed from a broken connection.
type Heartbeat struct{}

// Watch calls deliver with each extern.CacheEvent after the position, each new extern.LoadReport, and Heartbeat values,
// until ctx ends, deliver fails or a new incarnation starts (*ResetError). It sends a resync if the position is zero, of
// another incarnation, older than the buffer or newer than the latest event.
func (f *Feed) Watch(ctx context.Context, from extern.EnginePosition, deliver func(any) error) error {
	w := watcher{feed: f, position: from, nothingDelivered: true}
	incarnation := f.currentIncarnation()
	for {
		if f.currentIncarnation() != incarnation {
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
		heartbeatDue, err := waitForChange(ctx, wait, changed)
		if err != nil {
			return err
		}
		if heartbeatDue {
			if err := deliver(Heartbeat{}); err != nil {
				return err
			}
		}
	}
}

// waitForChange waits until the feed changes or the next event is due, and reports whether a heartbeat is due instead.
// wait is the time until the next event is due; 0 means that there is none.
func waitForChange(ctx context.Context, wait time.Duration, changed <-chan struct{}) (heartbeatDue bool, err error) {
	heartbeatDue = wait <= 0 || wait > heartbeatInterval
	if heartbeatDue {
		wait = heartbeatInterval
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return heartbeatDue, nil
	case <-changed:
		return false, nil
	case <-ctx.Done():
		return false, ctx.Err()
	}
}

func (f *Feed) currentIncarnation() ident.Incarnation {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.incarnation
}

// notifyWatchers wakes all waiting watchers. The caller holds f.mu.
func (f *Feed) notifyWatchers() {
	if f.changed != nil {
		close(f.changed)
		f.changed = nil
	}
}
