package uprate

import (
	"slices"
	"strings"
	"time"

	"k8s.io/klog/v2"

	"github.com/gooseberryway/gooseberryway/internal/state/ident"
	"github.com/gooseberryway/gooseberryway/internal/state/rhash"
	"github.com/gooseberryway/gooseberryway/internal/state/view"
)

// share is this daemon's part of a limit: a token bucket.
type share struct {
	held bool
	// rate is in requests per second, burst and tokens are in requests.
	rate, burst, tokens float64
	refilledAt          time.Time
}

func (s *share) refill(now time.Time) {
	s.tokens = min(s.tokens+now.Sub(s.refilledAt).Seconds()*s.rate, s.burst)
	s.refilledAt = now
}

// wait returns the time until the share allows a request; 0 if it does now.
func (s *share) wait(now time.Time) time.Duration {
	s.refill(now)
	if s.tokens >= 1 {
		return 0
	}
	return time.Duration((1 - s.tokens) / s.rate * float64(time.Second))
}

// updateShare sets this daemon's share of a limit. The caller holds t.mu.
func (t *Table) updateShare(id ident.UpstreamID, l *limit) {
	now := time.Now()
	rate := max(float64(l.rate), minRate)
	shares := min(max(1, int(rate/minShareRate)), max(1, t.peakMembers))
	old := l.share
	if !t.holdsShare(id, shares) {
		if old.held {
			klog.InfoS("Share of an upstream's limit given up", "upstream", id, "limit", l.rate, "shares", shares, "members", len(t.members))
		}
		l.share = share{}
		return
	}
	if old.held {
		old.refill(now)
	} else {
		klog.InfoS("Share of an upstream's limit taken", "upstream", id, "limit", l.rate, "shares", shares, "members", len(t.members))
	}
	n := float64(shares)
	burst := max(1, (jointBurst+jointBurstSeconds*rate)/n)
	l.share = share{held: true, rate: rate / n, burst: burst, tokens: min(old.tokens, burst), refilledAt: now}
}

// holdsShare reports whether this daemon is among the first members in the rendezvous hash order of the upstream. The
// caller holds t.mu.
func (t *Table) holdsShare(id ident.UpstreamID, shares int) bool {
	return slices.Contains(rhash.Pick(string(id), t.members, shares), t.Self)
}

// Wait returns how long this daemon has to wait before it may send a request to the upstream, and the upstream's limit.
// ok is false if no limit is in force.
func (t *Table) Wait(u *view.Upstream) (wait time.Duration, rate ident.RequestsPerSecond, ok bool) {
	if t.inForce.Load() == 0 {
		return 0, 0, false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	l := t.current(u)
	if l == nil || l.lifted {
		return 0, 0, false
	}
	if !l.share.held {
		return time.Duration(float64(time.Second) / max(float64(l.rate), minRate)), l.rate, true
	}
	return l.share.wait(time.Now()), l.rate, true
}

// Take takes a request out of this daemon's share of the upstream's limit. ok is false if the share doesn't allow one
// now. charged is false if there is no limit.
func (t *Table) Take(u *view.Upstream) (ok, charged bool) {
	if t.inForce.Load() == 0 {
		return true, false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	l := t.current(u)
	if l == nil || l.lifted {
		return true, false
	}
	if !l.share.held || l.share.wait(time.Now()) > 0 {
		return false, false
	}
	l.share.tokens--
	return true, true
}

// Return gives back what Take charged for a request that was not sent.
func (t *Table) Return(u *view.Upstream) {
	if t.inForce.Load() == 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if l := t.current(u); l != nil && l.share.held {
		l.share.tokens = min(l.share.tokens+1, l.share.burst)
	}
}

// LimitInForce is a limit and this daemon's share of it; the share is 0 if it holds none.
type LimitInForce struct {
	Upstream    ident.UpstreamID
	Rate, Share ident.RequestsPerSecond
}

// Limits returns the limits in force, ordered by upstream.
func (t *Table) Limits() []LimitInForce {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []LimitInForce
	for id, l := range t.limits {
		if !l.lifted {
			out = append(out, LimitInForce{Upstream: id, Rate: l.rate, Share: ident.RequestsPerSecond(l.share.rate)})
		}
	}
	slices.SortFunc(out, func(a, b LimitInForce) int { return strings.Compare(string(a.Upstream), string(b.Upstream)) })
	return out
}
