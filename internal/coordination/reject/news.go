package reject

import (
	"maps"
	"slices"
	"time"

	"github.com/gooseberryway/gooseberryway/internal/state/ident"
	"github.com/gooseberryway/gooseberryway/internal/state/view"
)

// News is what a daemon tells its peers of an upstream's rejection limit.
type News struct {
	Upstream    ident.UpstreamID
	Incarnation ident.Incarnation
	PerSecond   float64
	// Lifted says that the upstream no longer names a limit.
	Lifted bool
	// Age is how long ago a daemon received the response that says so.
	Age time.Duration
	// Confirmed says that the limit holds as far as a daemon knows that still sends requests to the upstream.
	Confirmed bool
}

// News returns what to tell the other active daemons with a heartbeat: what has changed here lately and, at times, limits of
// which this daemon is among the first holders of a share. Others are not repeated, so that daemons don't confirm a limit to
// each other that has ended.
func (t *Table) News() []News {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []News
	for _, l := range t.limits {
		if len(out) == maxNews {
			break
		}
		changed := !l.changedHereAt.IsZero() && time.Since(l.changedHereAt) < newsTTL
		if due := l.share.held() && l.share.rank < tellers && time.Since(l.toldAt) >= newsPeriod; !l.presumed && (changed || due) {
			l.toldAt = time.Now()
			out = append(out, l.news(l.share.held()))
		}
	}
	return out
}

// IdleNews returns what to tell daemons without traffic, which hold no shares and tell nobody. One limit of each service is
// enough, as the others are presumed; limits that were lifted are told a few at a time.
func (t *Table) IdleNews() []News {
	t.mu.Lock()
	defer t.mu.Unlock()
	lowest, lifted := map[view.ServiceID]*limit{}, []*limit(nil)
	for _, l := range t.limits {
		switch best := lowest[l.service]; {
		case l.presumed:
		case l.lifted && len(lifted) < maxIdleLifted:
			lifted = append(lifted, l)
		case l.lifted:
		case best == nil || l.perSecond < best.perSecond || l.perSecond == best.perSecond && l.upstream < best.upstream:
			lowest[l.service] = l
		}
	}
	var out []News
	for _, l := range slices.AppendSeq(lifted, maps.Values(lowest)) {
		out = append(out, l.news(!l.lifted))
	}
	return out
}

// news returns what to tell of a limit. The caller holds the table's mutex.
func (l *limit) news(confirmed bool) News {
	return News{
		Upstream: l.upstream, Incarnation: l.incarnation, PerSecond: l.perSecond, Lifted: l.lifted,
		Age: time.Since(l.observedAt), Confirmed: confirmed,
	}
}

// ApplyNews applies what a peer tells of the limit of an upstream. News that is older than what is known changes nothing,
// nor does news of another incarnation.
func (t *Table) ApplyNews(u *view.Upstream, n News) {
	if n.Incarnation != u.Incarnation || !(n.PerSecond >= 0) {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	observedAt := time.Now().Add(-n.Age)
	l := t.current(u)
	switch {
	case n.Lifted:
		switch {
		case l == nil:
			l = t.add(u)
			l.lifted, l.observedAt = true, observedAt
		case !l.lifted && observedAt.After(l.observedAt):
			t.lift(l, observedAt, "peer")
		}
		return
	case l != nil && l.lifted:
		if observedAt.Before(l.observedAt.Add(liftTolerance)) {
			return
		}
		t.apply(u, n.PerSecond, observedAt, "peer")
	case l == nil || l.presumed || observedAt.After(l.observedAt):
		t.apply(u, n.PerSecond, observedAt, "peer")
	}
	if n.Confirmed {
		t.limits[u.ID].confirmedAt = time.Now()
	}
}
