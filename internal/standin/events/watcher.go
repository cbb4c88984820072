package events

import (
	"slices"
	"time"

	"github.com/gooseberryway/gooseberryway/internal/state/extern"
)

// watcher is the state of one Watch: the position of the last event collected and whether there was any yet.
type watcher struct {
	feed             *Feed
	position         extern.EnginePosition
	nothingDelivered bool
	lastReportAt     time.Time
}

// collect returns the extern.CacheEvent and extern.LoadReport values that are due, the time until the next one is due (0
// if there is none), and a channel that is closed when the feed changes.
func (w *watcher) collect(now time.Time) (batch []any, wait time.Duration, changed <-chan struct{}) {
	f := w.feed
	// The cache publishes while holding its own lock, and CachedBlocks takes that lock. To avoid a deadlock, resync calls
	// CachedBlocks before the feed's lock is taken here.
	var resync *extern.CacheEvent
	if w.needsResync() {
		resync = w.resync()
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.changed == nil {
		f.changed = make(chan struct{})
	}
	if resync != nil {
		batch = append(batch, *resync)
	}
	batch, wait = w.collectCacheEvents(batch, now)
	load, reportWait := w.collectLoadReport(now)
	if load != nil {
		batch = append(batch, *load)
	}
	if reportWait > 0 && (wait == 0 || reportWait < wait) {
		wait = reportWait
	}
	return batch, wait, f.changed
}

// needsResync reports whether the events after the position are not all in the buffer.
func (w *watcher) needsResync() bool {
	f := w.feed
	f.mu.Lock()
	defer f.mu.Unlock()
	if w.position.Incarnation != f.incarnation {
		return true
	}
	if w.nothingDelivered && w.position.Sequence == 0 {
		return true
	}
	oldestBuffered := f.sequence + 1
	if len(f.buffer) > 0 {
		oldestBuffered = f.buffer[0].event.Position.Sequence
	}
	return w.position.Sequence+1 < oldestBuffered || w.position.Sequence > f.sequence
}

// resync returns an event with all cached blocks. The position is read first: changes made in between are delivered once
// more as events, which does no harm, while the other order could miss them.
func (w *watcher) resync() *extern.CacheEvent {
	f := w.feed
	f.mu.Lock()
	position := extern.EnginePosition{Incarnation: f.incarnation, Sequence: f.sequence}
	f.mu.Unlock()
	blocks := f.CachedBlocks()
	w.position = position
	w.nothingDelivered = false
	return &extern.CacheEvent{Position: position, Resync: true, Added: blocks}
}

// collectCacheEvents appends the cache events that are due to the batch and returns the time until the next is due, 0 if
// there is none. The caller holds the feed's lock.
func (w *watcher) collectCacheEvents(batch []any, now time.Time) ([]any, time.Duration) {
	f := w.feed
	start, _ := slices.BinarySearchFunc(f.buffer, w.position.Sequence+1, func(e bufferedEvent, n sequence) int {
		return int(int64(e.event.Position.Sequence) - int64(n)) //nolint:gosec // sequence numbers start at 1 and stay small
	})
	for _, e := range f.buffer[start:] {
		if e.event.Position.Incarnation != w.position.Incarnation {
			break
		}
		if wait := e.dueAt.Sub(now); wait > 0 {
			return batch, wait
		}
		w.position = e.event.Position
		w.nothingDelivered = false
		if !e.lost {
			batch = append(batch, e.event)
		}
	}
	return batch, 0
}

// collectLoadReport returns the newest load report that is due, unless it was collected before, and the time until the
// next is due, 0 if there is none. The caller holds the feed's lock.
func (w *watcher) collectLoadReport(now time.Time) (*extern.LoadReport, time.Duration) {
	f := w.feed
	var newest *report
	for i := range f.reports {
		r := &f.reports[i]
		if wait := r.measuredAt.Add(f.Lag).Sub(now); wait > 0 {
			return w.reportIfNew(newest, now), wait
		}
		newest = r
	}
	return w.reportIfNew(newest, now), 0
}

// reportIfNew returns the report with its lag, or nil if it was collected before.
func (w *watcher) reportIfNew(r *report, now time.Time) *extern.LoadReport {
	if r == nil || !r.measuredAt.After(w.lastReportAt) {
		return nil
	}
	w.lastReportAt = r.measuredAt
	load := r.load
	load.Lag = now.Sub(r.measuredAt)
	return &load
}
