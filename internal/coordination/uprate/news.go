package uprate

import (
	"time"

	"github.com/gooseberryway/gooseberryway/internal/state/ident"
	"github.com/gooseberryway/gooseberryway/internal/state/view"
)

// News is what a daemon tells its peers of an upstream's limit.
type News struct {
	Upstream    ident.UpstreamID
	Incarnation ident.Incarnation
	Rate        ident.RequestsPerSecond
	// Lifted says that the upstream no longer names a limit.
	Lifted bool
	// Age is how long ago a daemon received the response that says so.
	Age time.Duration
	// Confirmed says that the limit holds as far as a daemon knows that still sends requests to the upstream.
	Confirmed bool
}

// News returns what to tell the other active daemons: limits of which this daemon holds a share, and what it has
// observed itself lately. Others are not repeated, so that daemons don't confirm a limit to each other that has ended.
func (t *Table) News() []News {
	return t.news(func(l *limit, now time.Time) bool {
		return l.share.held || !l.observedHereAt.IsZero() && now.Sub(l.observedHereAt) < newsTTL
	}, func(l *limit) bool { return l.share.held })
}

// AllNews returns what to tell daemons without traffic, which hold no shares and tell nobody: all limits.
func (t *Table) AllNews() []News {
	return t.news(func(*limit, time.Time) bool { return true }, func(l *limit) bool { return !l.lifted })
}

func (t *Table) news(included func(*limit, time.Time) bool, confirmed func(*limit) bool) []News {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	var out []News
	for id, l := range t.limits {
		if len(out) == maxNews {
			break
		}
		if !included(l, now) {
			continue
		}
		out = append(out, News{
			Upstream: id, Incarnation: l.incarnation, Rate: l.rate, Lifted: l.lifted, Age: now.Sub(l.observedAt), Confirmed: confirmed(l),
		})
	}
	return out
}

// ApplyNews applies what a peer tells of the limit of an upstream. News that is older than what is known changes
// nothing, nor does news of another incarnation.
func (t *Table) ApplyNews(u *view.Upstream, n News) {
	if n.Incarnation != u.Incarnation || n.Rate < 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	observedAt := now.Add(-n.Age)
	l := t.current(u)
	switch {
	case n.Lifted:
		if l != nil && !l.lifted && observedAt.After(l.observedAt) {
			t.lift(u, l, observedAt, "peer")
		}
		return
	case l != nil && l.lifted:
		if observedAt.Before(l.observedAt.Add(liftTolerance)) {
			return
		}
		t.apply(u, n.Rate, observedAt, "peer")
	case l == nil || observedAt.After(l.observedAt):
		t.apply(u, n.Rate, observedAt, "peer")
	}
	if n.Confirmed {
		t.limits[u.ID].confirmedAt = now
	}
}
