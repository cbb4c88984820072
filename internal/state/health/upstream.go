// Package health tracks the state of each upstream as this daemon knows it. From load reports, the requests that daemons
// have sent since and the outcomes of this daemon's own requests it estimates the upstream's load and speed, and it decides
// on ejection (outlier detection) and slow start.
package health

import (
	"math"
	"slices"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/gooseberryway/gooseberryway/internal/state/config"
	"github.com/gooseberryway/gooseberryway/internal/state/extern"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

// Upstream is the state of one upstream. Its methods are safe for concurrent use and don't block.
type Upstream struct {
	ID ident.UpstreamID
	// Hash is the hash of the id, by which a group is ordered and from which rendezvous scores are computed.
	Hash uint64

	base     time.Time
	config   atomic.Pointer[config.Upstream]
	report   atomic.Pointer[report]
	sentWork window
	// leavingSince, ejectedUntil and slowStartFrom are times since base in nanoseconds; 0 means unset.
	leavingSince     atomic.Int64
	ejectedUntil     atomic.Int64
	slowStartFrom    atomic.Int64
	incarnation      atomic.Uint64
	failures         atomic.Int32
	ejections        atomic.Int32
	inFlight         atomic.Int64
	prefillRate      atomicFloat
	queueFactor      atomicFloat
	cacheHitAccuracy atomicFloat
	// meanDecodeTime is the EWMA of the time from a response's first token to its last, in seconds; 0 before the first
	// observation.
	meanDecodeTime atomicFloat
}

// report is a load report with the time at which its figures were current, counted from Upstream.base.
type report struct {
	extern.LoadReport
	asOf time.Duration
}

func newUpstream(cfg *config.Upstream, base time.Time) *Upstream {
	u := &Upstream{ID: cfg.ID, Hash: xxhash.Sum64String(string(cfg.ID)), base: base}
	u.config.Store(cfg)
	u.cacheHitAccuracy.store(1)
	u.queueFactor.store(1)
	return u
}

// Config returns the upstream's configuration.
func (u *Upstream) Config() *config.Upstream { return u.config.Load() }

// Incarnation returns the highest incarnation observed; 0 if none was.
func (u *Upstream) Incarnation() ident.Incarnation {
	return ident.Incarnation(u.incarnation.Load())
}

func (u *Upstream) since(now time.Time) time.Duration { return now.Sub(u.base) }

// configure replaces the configuration and records when the upstream began to leave.
func (u *Upstream) configure(cfg *config.Upstream, now time.Time) {
	u.config.Store(cfg)
	if !cfg.Leaving {
		u.leavingSince.Store(0)
		return
	}
	u.leavingSince.CompareAndSwap(0, int64(u.since(now)))
}

// LeavingFor returns how long the configuration has listed the upstream as leaving; false if it isn't leaving.
func (u *Upstream) LeavingFor(now time.Time) (time.Duration, bool) {
	since := u.leavingSince.Load()
	if since == 0 {
		return 0, false
	}
	return u.since(now) - time.Duration(since), true
}

// ApplyReport replaces the load report unless the new one is of an older incarnation or has older figures. It returns
// whether the report shows that the upstream has restarted.
func (u *Upstream) ApplyReport(r extern.LoadReport, now time.Time) (restarted bool) {
	restarted = u.UpdateIncarnation(r.Incarnation, now)
	if r.Incarnation < u.Incarnation() {
		return false
	}
	next := &report{LoadReport: r, asOf: u.since(now) - max(0, r.Lag)}
	for {
		old := u.report.Load()
		if old != nil && old.Incarnation == r.Incarnation && old.asOf > next.asOf {
			return restarted
		}
		if u.report.CompareAndSwap(old, next) {
			return restarted
		}
	}
}

// UpdateIncarnation records an incarnation and reports whether it is higher than one known before, that is whether the
// upstream has restarted. A restart clears failures and ejection and begins a slow start.
func (u *Upstream) UpdateIncarnation(incarnation ident.Incarnation, now time.Time) bool {
	for {
		old := u.incarnation.Load()
		if uint64(incarnation) <= old {
			return false
		}
		if !u.incarnation.CompareAndSwap(old, uint64(incarnation)) {
			continue
		}
		if old == 0 {
			return false
		}
		u.failures.Store(0)
		u.ejectedUntil.Store(0)
		u.slowStartFrom.Store(int64(u.since(now)))
		return true
	}
}

// Load is the estimated load of an engine.
type Load struct {
	// QueuedTokens is the number of prompt tokens that wait for prefill.
	QueuedTokens ident.Tokens
	// Requests is the number of running and waiting requests.
	Requests int
	// Waiting is the number of waiting requests in the last report.
	Waiting int
	// BatchWait is the time until a new request gets a slot in the engine's batch; 0 if no requests wait for one.
	BatchWait time.Duration
	// Reported says that the estimate is based on a load report that isn't stale.
	Reported bool
}

// Load estimates the current load: the load of the last report, less the tokens that the engine has computed since, plus
// the requests that this daemon and its peers have sent since. Without a report, or with
// a stale one, only this daemon's own open requests count.
func (u *Upstream) Load(now time.Time) Load {
	t := u.since(now)
	r := u.freshReport(t)
	if r == nil {
		return Load{QueuedTokens: u.sentWork.pendingTokens(), Requests: int(u.inFlight.Load())}
	}
	pending, begun := u.sentWork.sentSince(r.asOf, t)
	return Load{
		QueuedTokens: u.remainingTokens(r, t, u.QueueFactor()) + pending,
		Requests:     r.WaitingRequests + r.RunningRequests + int(begun),
		Waiting:      r.WaitingRequests,
		BatchWait:    u.batchWait(r, t-r.asOf, begun),
		Reported:     true,
	}
}

// freshReport returns the last report, or nil if there is none or it is stale at the given time.
func (u *Upstream) freshReport(at time.Duration) *report {
	r := u.report.Load()
	if r == nil || at-r.asOf > ReportStaleAfter {
		return nil
	}
	return r
}

// remainingTokens estimates how many tokens of the reported queue, scaled by the factor, the engine has yet to compute at
// the given time.
func (u *Upstream) remainingTokens(r *report, at time.Duration, factor float64) ident.Tokens {
	computed := u.PrefillRate() * (at - r.asOf).Seconds()
	return ident.Tokens(max(0, float64(r.QueuedTokens)*factor-computed))
}

// OutstandingTokens estimates the prompt tokens that the engine computes before a request that is sent now. Unlike Load it
// limits the queue factor to 1, so that a slow engine doesn't seem to have more tokens than it reported.
func (u *Upstream) OutstandingTokens(now time.Time) ident.Tokens {
	t := u.since(now)
	r := u.freshReport(t)
	if r == nil {
		return u.sentWork.pendingTokens()
	}
	pending, _ := u.sentWork.sentSince(r.asOf, t)
	return u.remainingTokens(r, t, min(1, u.QueueFactor())) + pending
}

// Serves reports whether the upstream has loaded the version; known is false while there is no load report.
func (u *Upstream) Serves(version ident.VersionID) (serves, known bool) {
	r := u.report.Load()
	if r == nil {
		return false, false
	}
	return slices.Contains(r.Versions, version), true
}

// PrefillRate returns the estimated prefill rate in tokens per second, DefaultPrefillTokensPerSecond if there is no
// estimate.
func (u *Upstream) PrefillRate() float64 {
	if rate := u.prefillRate.load(); rate > 0 {
		return rate
	}
	return DefaultPrefillTokensPerSecond
}

// ObservedPrefillRate returns the estimated prefill rate in tokens per second; 0 if there is no estimate.
func (u *Upstream) ObservedPrefillRate() float64 { return u.prefillRate.load() }

// SetPeerPrefillRate adopts a peer's estimate of the prefill rate, in tokens per second, if this daemon has none.
func (u *Upstream) SetPeerPrefillRate(rate float64) {
	u.prefillRate.update(func(old float64) float64 {
		if old != 0 || rate <= 0 {
			return old
		}
		return rate
	})
}

// LastReport returns the last load report and the age of its figures.
func (u *Upstream) LastReport(now time.Time) (report extern.LoadReport, age time.Duration, ok bool) {
	r := u.report.Load()
	if r == nil {
		return extern.LoadReport{}, 0, false
	}
	return r.LoadReport, u.since(now) - r.asOf, true
}

// ReportedQueue returns the queued tokens of the last report; 0 if there is none or it is stale.
func (u *Upstream) ReportedQueue(now time.Time) ident.Tokens {
	r, age, ok := u.LastReport(now)
	if !ok || age > ReportStaleAfter {
		return 0
	}
	return r.QueuedTokens
}

// ObservePrefill updates the prefill rate with the time to first token of a request for which the engine computed the given
// number of tokens. Part of that time may have been spent in the queue, therefore the estimate rises quickly and falls
// slowly.
func (u *Upstream) ObservePrefill(computed ident.Tokens, d time.Duration) {
	if computed <= 0 || d <= 0 {
		return
	}
	sample := max(minPrefillTokensPerSecond, float64(computed)/d.Seconds())
	u.prefillRate.update(func(old float64) float64 {
		switch {
		case old == 0:
			return sample
		case sample > old:
			return old + prefillRateRiseWeight*(sample-old)
		default:
			return old + prefillRateFallWeight*(sample-old)
		}
	})
}

// QueueFactor returns the estimated ratio of the queued tokens that the engine computes to those that it reports. It is
// below 1 if some of them are cached and above 1 if the engine is slower than its prefill rate.
func (u *Upstream) QueueFactor() float64 { return u.queueFactor.load() }

// ObserveQueueWait updates the queue factor with the time that a request waited and the tokens that were reported as queued
// when it was sent.
func (u *Upstream) ObserveQueueWait(reported ident.Tokens, wait time.Duration) {
	if reported < minQueueSampleTokens {
		return
	}
	sample := wait.Seconds() * u.PrefillRate() / float64(reported)
	sample = min(maxQueueFactor, max(minQueueFactor, sample))
	u.queueFactor.update(func(old float64) float64 { return old + queueFactorWeight*(sample-old) })
}

// CacheHitAccuracy returns the estimated share, up to 1, of the tokens expected in the engine's cache that are really there.
func (u *Upstream) CacheHitAccuracy() float64 { return u.cacheHitAccuracy.load() }

// ObserveCacheHits updates the cache hit accuracy with the tokens expected in the engine's cache and those found there.
func (u *Upstream) ObserveCacheHits(expected, cached ident.Tokens) {
	if expected <= 0 {
		return
	}
	sample := math.Min(1, float64(cached)/float64(expected))
	u.cacheHitAccuracy.update(func(old float64) float64 {
		return math.Max(minCacheHitAccuracy, old+cacheHitAccuracyWeight*(sample-old))
	})
}
