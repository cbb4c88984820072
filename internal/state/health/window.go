package health

import (
	"sync/atomic"
	"time"

	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

// window counts the work that this daemon has sent to an upstream, by the time at which it was sent.
type window struct {
	slices [windowSlices]slice
	total  atomic.Int64
}

// slice counts what was sent within one sliceTime.
type slice struct {
	// tag is the number of the slice since the start.
	tag atomic.Int64
	// pending are tokens whose first answer token has not come.
	pending atomic.Int64
	// begun are requests that have not ended.
	begun atomic.Int64
}

// slice returns the slice of a time, emptied if it was last used for an earlier one.
func (w *window) slice(at time.Duration) *slice {
	tag := int64(at / sliceTime)
	s := &w.slices[tag%windowSlices]
	if old := s.tag.Load(); old != tag && s.tag.CompareAndSwap(old, tag) {
		s.pending.Store(0)
		s.begun.Store(0)
	}
	return s
}

// add counts tokens of a request at the time at, and returns the slice's number for later subtraction.
func (w *window) add(at time.Duration, tokens ident.Tokens) int64 {
	s := w.slice(at)
	s.pending.Add(int64(tokens))
	s.begun.Add(1)
	w.total.Add(int64(tokens))
	return int64(at / sliceTime)
}

// computed subtracts tokens whose prefill has ended.
func (w *window) computed(tag int64, tokens ident.Tokens) {
	w.total.Add(-int64(tokens))
	if s := &w.slices[tag%windowSlices]; s.tag.Load() == tag {
		s.pending.Add(-int64(tokens))
	}
}

// ended subtracts a request that has ended.
func (w *window) ended(tag int64) {
	if s := &w.slices[tag%windowSlices]; s.tag.Load() == tag {
		s.begun.Add(-1)
	}
}

// after returns the work sent from the slice of a time on until now. Of work sent longer ago than the window reaches
// nothing is known.
func (w *window) after(at, now time.Duration) (pending ident.Tokens, begun int64) {
	last := int64(now / sliceTime)
	first := max(int64(at/sliceTime), last-windowSlices+1, 0)
	for tag := first; tag <= last; tag++ {
		if s := &w.slices[tag%windowSlices]; s.tag.Load() == tag {
			pending += ident.Tokens(max(0, s.pending.Load()))
			begun += max(0, s.begun.Load())
		}
	}
	return pending, begun
}

// all returns the work sent whose first answer token has not come.
func (w *window) all() ident.Tokens {
	return ident.Tokens(max(0, w.total.Load()))
}
