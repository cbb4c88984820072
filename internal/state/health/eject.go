package health

import (
	"time"
)

// RecordSuccess records a successful response. It resets the count of consecutive failures and, once the upstream has
// completed its slow start, the count of ejections.
func (t *Table) RecordSuccess(u *Upstream, now time.Time) {
	if u.failures.Load() != 0 {
		u.failures.Store(0)
	}
	if u.ejections.Load() != 0 && !u.Ejected(now) && u.Weight(now) == 1 {
		u.ejections.Store(0)
	}
}

// RecordFailure records a failure and reports whether it ejected the upstream. An upstream is ejected after
// EjectionFailureThreshold consecutive failures, unless as many upstreams of its group as allowed are ejected already.
func (t *Table) RecordFailure(u *Upstream, now time.Time) (ejected bool) {
	return t.addFailures(u, 1, now)
}

// RecordUnreachable records that a connection to the upstream failed, which counts as EjectionFailureThreshold failures. It
// reports whether it ejected the upstream.
func (t *Table) RecordUnreachable(u *Upstream, now time.Time) (ejected bool) {
	return t.addFailures(u, EjectionFailureThreshold, now)
}

// addFailures adds n consecutive failures and ejects the upstream if that is due and allowed.
func (t *Table) addFailures(u *Upstream, n int32, now time.Time) (ejected bool) {
	if u.failures.Add(n) < EjectionFailureThreshold {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if u.Ejected(now) || t.ejected(u, now) >= t.maxEjected(u) {
		return false
	}
	count := min(u.ejections.Add(1), maxEjectionCount)
	d := min(BaseEjectionTime<<(count-1), MaxEjectionTime)
	u.ejectedUntil.Store(int64(u.since(now) + d))
	u.slowStartFrom.Store(int64(u.since(now) + d))
	u.failures.Store(0)
	return true
}

// group returns the upstreams of the same kind and model, among which the share of ejected ones is bounded.
func (t *Table) group(u *Upstream) []*Upstream {
	return t.currentSnapshot().group[groupKeyOf(u.Config())]
}

// ejected returns how many upstreams of the group are ejected.
func (t *Table) ejected(u *Upstream, now time.Time) int {
	n := 0
	for _, other := range t.group(u) {
		if other.Ejected(now) {
			n++
		}
	}
	return n
}

// maxEjected returns how many upstreams of the group may be ejected at the same time: none of a single upstream, else at
// least one.
func (t *Table) maxEjected(u *Upstream) int {
	share := int(t.MaxEjectedShare)
	if share == 0 {
		share = DefaultMaxEjectedPermille
	}
	n := len(t.group(u))
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

// Weight returns the share of its usual work that the upstream should get: 1, or less during slow start.
func (u *Upstream) Weight(now time.Time) float64 {
	from := u.slowStartFrom.Load()
	if from == 0 {
		return 1
	}
	age := u.since(now) - time.Duration(from)
	if age >= SlowStartTime {
		return 1
	}
	return max(minSlowStartShare, float64(age)/float64(SlowStartTime))
}

// Failures returns the number of consecutive failures. A success, an ejection and a restart reset it.
func (u *Upstream) Failures() int { return int(u.failures.Load()) }
