// Package health holds what this daemon knows about the state of each upstream: its last load report, the requests
// that this daemon has sent since, failures, ejection, slow start, loaded versions and learned speed.
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

// Upstream is the state of one upstream. All its methods are safe for concurrent use and none blocks.
type Upstream struct {
	ID ident.UpstreamID
	// Hash is the hash of the id, which places the upstream among its peers.
	Hash uint64

	base   time.Time
	config atomic.Pointer[config.Upstream]
	report atomic.Pointer[report]
	sent   window
	// leavingSince, ejectedUntil and rampFrom are times since base in nanoseconds; 0 is unset.
	leavingSince atomic.Int64
	ejectedUntil atomic.Int64
	rampFrom     atomic.Int64
	incarnation  atomic.Uint64
	failures     atomic.Int32
	ejections    atomic.Int32
	inFlight     atomic.Int64
	prefillRate  atomicFloat
	queueFactor  atomicFloat
	trust        atomicFloat
	// batchTime is the learned time in seconds that an answer takes from its first token to its last.
	batchTime atomicFloat
}

// report is a load report with the time that its figures are of.
type report struct {
	extern.LoadReport
	asOf time.Duration
}

func newUpstream(cfg *config.Upstream, base time.Time) *Upstream {
	u := &Upstream{ID: cfg.ID, Hash: xxhash.Sum64String(string(cfg.ID)), base: base}
	u.config.Store(cfg)
	u.trust.store(1)
	u.queueFactor.store(1)
	return u
}

// Config returns the upstream's configuration.
func (u *Upstream) Config() *config.Upstream { return u.config.Load() }

// Incarnation returns the highest incarnation heard of; 0 when none.
func (u *Upstream) Incarnation() ident.Incarnation {
	return ident.Incarnation(u.incarnation.Load())
}

func (u *Upstream) since(now time.Time) time.Duration { return now.Sub(u.base) }

// configure replaces the configuration and notes when the upstream began to leave.
func (u *Upstream) configure(cfg *config.Upstream, now time.Time) {
	u.config.Store(cfg)
	if !cfg.Leaving {
		u.leavingSince.Store(0)
		return
	}
	u.leavingSince.CompareAndSwap(0, int64(u.since(now)))
}

// Leaving tells for how long the upstream has been known to be leaving.
func (u *Upstream) Leaving(now time.Time) (time.Duration, bool) {
	since := u.leavingSince.Load()
	if since == 0 {
		return 0, false
	}
	return u.since(now) - time.Duration(since), true
}

// ApplyReport takes in a load report. One of an older incarnation or as of an earlier time is ignored.
// It reports whether the upstream has restarted since the last one.
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

// UpdateIncarnation notes an incarnation and reports whether it is a later one than before. A restarted engine starts slowly.
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
		u.rampFrom.Store(int64(u.since(now)))
		return true
	}
}

// Load is the estimated load of an engine.
type Load struct {
	// Queued are the prompt tokens that wait for prefill.
	Queued ident.Tokens
	// Requests are running and waiting requests.
	Requests int
	// Waiting are the requests that the last report called waiting.
	Waiting int
	// BatchWait is the time until the engine's batch has room, when requests wait for it.
	BatchWait time.Duration
	// Reported tells that a load report underlies the estimate.
	Reported bool
}

// Load estimates the load as of now: what the last report said, less what the engine has computed since, plus what
// this daemon has sent or heard of since.
func (u *Upstream) Load(now time.Time) Load {
	t := u.since(now)
	r := u.fresh(t)
	if r == nil {
		return Load{Queued: u.sent.all(), Requests: int(u.inFlight.Load())}
	}
	pending, begun := u.sent.after(r.asOf, t)
	return Load{
		Queued:    u.left(r, t, u.QueueFactor()) + pending,
		Requests:  r.WaitingRequests + r.RunningRequests + int(begun),
		Waiting:   r.WaitingRequests,
		BatchWait: u.batchWait(r, t-r.asOf, begun),
		Reported:  true,
	}
}

// fresh returns the last report, nil if there is none or it is stale at the time.
func (u *Upstream) fresh(at time.Duration) *report {
	r := u.report.Load()
	if r == nil || at-r.asOf > ReportStaleAfter {
		return nil
	}
	return r
}

// left returns what is left at a time of the part of the reported queue that the engine has to compute.
func (u *Upstream) left(r *report, at time.Duration, part float64) ident.Tokens {
	drained := u.PrefillRate() * (at - r.asOf).Seconds()
	return ident.Tokens(max(0, float64(r.QueuedTokens)*part-drained))
}

// OutstandingTokens estimates the prompt tokens that the engine computes before a request that is sent now. Other than in Load,
// a slow engine does not seem to have more of them.
func (u *Upstream) OutstandingTokens(now time.Time) ident.Tokens {
	t := u.since(now)
	r := u.fresh(t)
	if r == nil {
		return u.sent.all()
	}
	pending, _ := u.sent.after(r.asOf, t)
	return u.left(r, t, min(1, u.QueueFactor())) + pending
}

// Serves tells whether the upstream has loaded the version; known is false while no report has told.
func (u *Upstream) Serves(version ident.VersionID) (serves, known bool) {
	r := u.report.Load()
	if r == nil {
		return false, false
	}
	return slices.Contains(r.Versions, version), true
}

// PrefillRate returns the learned speed of prefill in tokens a second.
func (u *Upstream) PrefillRate() float64 {
	if rate := u.prefillRate.load(); rate > 0 {
		return rate
	}
	return DefaultPrefillRate
}

// ObservedPrefillRate returns the learned speed of prefill in tokens a second; 0 when nothing was learned.
func (u *Upstream) ObservedPrefillRate() float64 { return u.prefillRate.load() }

// SetPeerPrefillRate sets the speed of prefill that another daemon has learned, unless one was learned here.
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

// ReportedQueue returns the tokens that the last report called queued, less what was computed since.
func (u *Upstream) ReportedQueue(now time.Time) ident.Tokens {
	r, age, ok := u.LastReport(now)
	if !ok || age > ReportStaleAfter {
		return 0
	}
	return r.QueuedTokens
}

// ObservePrefill takes in the time to the first token of a request for which the engine computed so many tokens. As part
// of the time may have been spent in the queue, the learned speed rises quickly and falls slowly.
func (u *Upstream) ObservePrefill(computed ident.Tokens, d time.Duration) {
	if computed <= 0 || d <= 0 {
		return
	}
	sample := max(rateFloor, float64(computed)/d.Seconds())
	u.prefillRate.update(func(old float64) float64 {
		switch {
		case old == 0:
			return sample
		case sample > old:
			return old + rateRise*(sample-old)
		default:
			return old + rateFall*(sample-old)
		}
	})
}

// QueueFactor returns the learned part of the tokens reported as queued that the engine has to compute. The others turn
// out to be cached.
func (u *Upstream) QueueFactor() float64 { return u.queueFactor.load() }

// ObserveQueueWait takes in how long a request waited while so many tokens were reported as queued.
func (u *Upstream) ObserveQueueWait(reported ident.Tokens, wait time.Duration) {
	if reported < queueSampleTokens {
		return
	}
	sample := wait.Seconds() * u.PrefillRate() / float64(reported)
	sample = min(queueFactorMax, max(queueFactorMin, sample))
	u.queueFactor.update(func(old float64) float64 { return old + queueWeight*(sample-old) })
}

// CacheHitAccuracy returns the learned part of the expected blocks that the engine really holds, from 0 to 1.
func (u *Upstream) CacheHitAccuracy() float64 { return u.trust.load() }

// ObserveCacheHits takes in how many tokens were expected in the engine's cache and how many were there.
func (u *Upstream) ObserveCacheHits(expected, cached ident.Tokens) {
	if expected <= 0 {
		return
	}
	sample := math.Min(1, float64(cached)/float64(expected))
	u.trust.update(func(old float64) float64 {
		return math.Max(trustFloor, old+trustWeight*(sample-old))
	})
}
