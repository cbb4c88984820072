package health

import (
	"sync/atomic"
	"time"

	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

// window counts the requests sent to an upstream in the recent past, in a ring of buckets by the time of sending. It covers
// windowBuckets * bucketTime.
type window struct {
	buckets [windowBuckets]bucket
	// pendingTotal is the sum of the pending tokens of this daemon's requests, those older than the window included.
	pendingTotal atomic.Int64
}

// bucket counts the requests sent within one bucketTime.
type bucket struct {
	// number is the time of the bucket, in units of bucketTime since Upstream.base.
	number atomic.Int64
	// pending is the number of prompt tokens of requests that have not had their first output token.
	pending atomic.Int64
	// open is the number of requests that have not ended.
	open atomic.Int64
}

// bucket returns the bucket of a time and clears it if it holds the counts of an earlier time.
func (w *window) bucket(at time.Duration) *bucket {
	number := int64(at / bucketTime)
	b := &w.buckets[number%windowBuckets]
	if old := b.number.Load(); old != number && b.number.CompareAndSwap(old, number) {
		b.pending.Store(0)
		b.open.Store(0)
	}
	return b
}

// add counts a request and its tokens at the given time and returns the number of the bucket for prefilled and ended.
func (w *window) add(at time.Duration, tokens ident.Tokens) int64 {
	b := w.bucket(at)
	b.pending.Add(int64(tokens))
	b.open.Add(1)
	w.pendingTotal.Add(int64(tokens))
	return int64(at / bucketTime)
}

// prefilled subtracts tokens whose prefill has ended.
func (w *window) prefilled(number int64, tokens ident.Tokens) {
	w.pendingTotal.Add(-int64(tokens))
	if b := &w.buckets[number%windowBuckets]; b.number.Load() == number {
		b.pending.Add(-int64(tokens))
	}
}

// ended subtracts a request that has ended.
func (w *window) ended(number int64) {
	if b := &w.buckets[number%windowBuckets]; b.number.Load() == number {
		b.open.Add(-1)
	}
}

// sentSince returns the pending tokens and open requests of the requests sent since the bucket of a time. Requests that are
// older than the window are not included.
func (w *window) sentSince(at, now time.Duration) (pending ident.Tokens, open int64) {
	last := int64(now / bucketTime)
	first := max(int64(at/bucketTime), last-windowBuckets+1, 0)
	for number := first; number <= last; number++ {
		if b := &w.buckets[number%windowBuckets]; b.number.Load() == number {
			pending += ident.Tokens(max(0, b.pending.Load()))
			open += max(0, b.open.Load())
		}
	}
	return pending, open
}

// pendingTokens returns the tokens of all of this daemon's requests that have not had their first output token.
func (w *window) pendingTokens() ident.Tokens {
	return ident.Tokens(max(0, w.pendingTotal.Load()))
}
