// Package uprate holds the rates, in requests per second, to which upstreams limit all daemons together. An upstream
// names its limit in its responses, each of which only one daemon sees.
package uprate

import (
	"fmt"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"k8s.io/klog/v2"

	"github.com/gooseberryway/gooseberryway/internal/state/ident"
	"github.com/gooseberryway/gooseberryway/internal/state/view"
)

// Table holds the limits in force. Its methods may be called concurrently.
type Table struct {
	mu     sync.Mutex
	limits map[ident.UpstreamID]*limit
}

// limit is the limit of one incarnation of an upstream.
type limit struct {
	incarnation ident.Incarnation
	rate        ident.RequestsPerSecond
	// observedAt is when a daemon last received a response with this statement.
	observedAt time.Time
	// lifted says that the upstream no longer names a limit.
	lifted bool
}

// Observe applies what a response of the upstream says. began is when the request was sent: a response to a request
// that is older than the last named limit doesn't lift the limit.
func (t *Table) Observe(u *view.Upstream, began time.Time, statement view.LimitStatement) {
	t.mu.Lock()
	defer t.mu.Unlock()
	l := t.limits[u.ID]
	if l != nil && l.incarnation != u.Incarnation {
		l = nil
	}
	switch s := statement.(type) {
	case *view.RateLimit:
		t.set(u, l, s.Rate)
	case *view.NoLimit:
		if l == nil || l.lifted || !began.After(l.observedAt) {
			return
		}
		klog.InfoS("Upstream lifts its limit", "upstream", u.ID, "limit", l.rate, "namedMs", time.Since(l.observedAt).Milliseconds())
		countNews("response", "lifted")
		l.lifted, l.observedAt = true, time.Now()
	case *view.InvalidLimit:
		klog.InfoS("Limit of an upstream can't be read", "upstream", u.ID, "value", s.Value)
		countNews("response", "invalid")
	}
}

// set records a limit that a response names. The caller holds t.mu.
func (t *Table) set(u *view.Upstream, old *limit, rate ident.RequestsPerSecond) {
	if old != nil && !old.lifted && old.rate == rate {
		old.observedAt = time.Now()
		return
	}
	before := ident.RequestsPerSecond(-1)
	if old != nil && !old.lifted {
		before = old.rate
	}
	klog.InfoS("Upstream names a limit", "upstream", u.ID, "limit", rate, "before", before)
	countNews("response", "named")
	if t.limits == nil {
		t.limits = map[ident.UpstreamID]*limit{}
	}
	t.limits[u.ID] = &limit{incarnation: u.Incarnation, rate: rate, observedAt: time.Now()}
}

func countNews(source, change string) {
	metrics.GetOrCreateCounter(fmt.Sprintf(`gooseberrywayUpstreamLimitNews{source=%q,change=%q}`, source, change)).Inc()
}
