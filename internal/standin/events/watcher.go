package events

import (
	"slices"
	"time"

	"github.com/gooseberryway/gooseberryway/internal/state/extern"
)

// watcher is one reader of a feed.
type watcher struct {
	feed   *Feed
	at     extern.EnginePosition
	first  bool
	loadAt time.Time
}

// collect returns the events that are due, of types extern.CacheEvent and extern.LoadReport, else how long until
// the next is, and a channel that closes when the feed changes.
func (w *watcher) collect(now time.Time) (batch []any, wait time.Duration, changed <-chan struct{}) {
	f := w.feed
	// Held takes the cache's lock, under which the cache publishes: it is called before this one is taken.
	var resync *extern.CacheEvent
	if w.behind() {
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
	batch, wait = w.collectCache(batch, now)
	load, due := w.collectLoad(now)
	if load != nil {
		batch = append(batch, *load)
	}
	if due > 0 && (wait == 0 || due < wait) {
		wait = due
	}
	return batch, wait, f.changed
}

// behind reports whether events are missing between the position and what is kept.
func (w *watcher) behind() bool {
	f := w.feed
	f.mu.Lock()
	defer f.mu.Unlock()
	if w.at.Incarnation != f.incarnation {
		return true
	}
	if w.first && w.at.Sequence == 0 {
		return true
	}
	oldest := f.sequence + 1
	if len(f.kept) > 0 {
		oldest = f.kept[0].event.Position.Sequence
	}
	return w.at.Sequence+1 < oldest || w.at.Sequence > f.sequence
}

func (w *watcher) resync() *extern.CacheEvent {
	f := w.feed
	f.mu.Lock()
	position := extern.EnginePosition{Incarnation: f.incarnation, Sequence: f.sequence}
	f.mu.Unlock()
	held := f.CachedBlocks()
	w.at = position
	w.first = false
	return &extern.CacheEvent{Position: position, Resync: true, Added: held}
}

func (w *watcher) collectCache(batch []any, now time.Time) ([]any, time.Duration) {
	f := w.feed
	start, _ := slices.BinarySearchFunc(f.kept, w.at.Sequence+1, func(e entry, n sequence) int {
		return int(int64(e.event.Position.Sequence) - int64(n)) //nolint:gosec // sequences are small
	})
	for _, e := range f.kept[start:] {
		if e.event.Position.Incarnation != w.at.Incarnation {
			break
		}
		if wait := e.at.Sub(now); wait > 0 {
			return batch, wait
		}
		w.at = e.event.Position
		w.first = false
		if !e.lost {
			batch = append(batch, e.event)
		}
	}
	return batch, 0
}

// collectLoad returns the newest report that is due and new to the reader, and how long until the next is.
func (w *watcher) collectLoad(now time.Time) (*extern.LoadReport, time.Duration) {
	f := w.feed
	var newest *report
	for i := range f.reports {
		r := &f.reports[i]
		if wait := r.at.Add(f.Lag).Sub(now); wait > 0 {
			return w.deliverLoad(newest, now), wait
		}
		newest = r
	}
	return w.deliverLoad(newest, now), 0
}

func (w *watcher) deliverLoad(r *report, now time.Time) *extern.LoadReport {
	if r == nil || !r.at.After(w.loadAt) {
		return nil
	}
	w.loadAt = r.at
	load := r.load
	load.Lag = now.Sub(r.at)
	return &load
}
