package health

import (
	"time"
)

// RecordSuccess notes an answer and ends a series of failures.
func (t *Table) RecordSuccess(u *Upstream, now time.Time) {
	if u.failures.Load() != 0 {
		u.failures.Store(0)
	}
	if u.ejections.Load() != 0 && !u.Ejected(now) && u.Weight(now) == 1 {
		u.ejections.Store(0)
	}
}

// RecordFailure notes a failure. An upstream that has failed EjectFailures times in a row is ejected for a time, unless too
// many others of its model are.
func (t *Table) RecordFailure(u *Upstream, now time.Time) (ejected bool) {
	return t.failed(u, 1, now)
}

// RecordUnreachable notes that an upstream could not be connected to, which counts as a whole series of failures.
func (t *Table) RecordUnreachable(u *Upstream, now time.Time) (ejected bool) {
	return t.failed(u, EjectionFailureThreshold, now)
}

func (t *Table) failed(u *Upstream, n int32, now time.Time) (ejected bool) {
	if u.failures.Add(n) < EjectionFailureThreshold {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if u.Ejected(now) || t.ejected(u, now) >= t.ejectable(u) {
		return false
	}
	times := min(u.ejections.Add(1), maxEjections)
	d := min(BaseEjectionTime<<(times-1), MaxEjectionTime)
	u.ejectedUntil.Store(int64(u.since(now) + d))
	u.rampFrom.Store(int64(u.since(now) + d))
	u.failures.Store(0)
	return true
}

// peers returns the upstreams among which the share of ejected ones is bounded.
func (t *Table) peers(u *Upstream) []*Upstream {
	return t.load().peers[peersOf(u.Config())]
}

func (t *Table) ejected(u *Upstream, now time.Time) int {
	n := 0
	for _, peer := range t.peers(u) {
		if peer.Ejected(now) {
			n++
		}
	}
	return n
}

// ejectable returns how many of the upstream's peers may be ejected at the same time.
func (t *Table) ejectable(u *Upstream) int {
	share := int(t.MaxEjectedShare)
	if share == 0 {
		share = DefaultMaxEjectedPermille
	}
	n := len(t.peers(u))
	if n < 2 {
		return 0
	}
	return max(1, n*share/1000)
}

// Ejected reports whether the upstream is ejected.
func (u *Upstream) Ejected(now time.Time) bool {
	until := u.ejectedUntil.Load()
	return until != 0 && u.since(now) < time.Duration(until)
}

// Weight returns the share of its usual work that the upstream should get: 1, or less during a slow start.
func (u *Upstream) Weight(now time.Time) float64 {
	from := u.rampFrom.Load()
	if from == 0 {
		return 1
	}
	age := u.since(now) - time.Duration(from)
	if age >= SlowStartTime {
		return 1
	}
	return max(slowStartFloor, float64(age)/float64(SlowStartTime))
}

// Failures returns the number of failures since the last success.
func (u *Upstream) Failures() int { return int(u.failures.Load()) }
