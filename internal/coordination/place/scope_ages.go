package place

import (
	"time"

	"github.com/VictoriaMetrics/metrics"
	"k8s.io/klog/v2"

	"github.com/gooseberryway/gooseberryway/internal/state/view"
)

// scopeAges tells since when the cache scopes of the configuration are in force. Nothing can be cached yet in one that has just begun.
type scopeAges struct {
	config *view.Config
	// since is zero for scopes of the first configuration that this daemon knew.
	since map[view.CacheScope]time.Time
}

// update takes over the scopes of a configuration.
func (a *scopeAges) update(c *view.Config, now time.Time) {
	if c == nil || c == a.config {
		return
	}
	since := map[view.CacheScope]time.Time{}
	for _, scope := range c.CacheScopes() {
		at, known := a.since[scope]
		if a.config != nil && !known {
			at = now
		}
		since[scope] = at
	}
	if pool := c.CacheScope(""); !since[pool].IsZero() && since[pool].Equal(now) {
		klog.InfoS("Shared cache pool changed, nothing is cached in it yet", "pool", pool.Pool, "isolated", len(since)-1, "config", c.Version)
		metrics.GetOrCreateCounter("gooseberrywayCachePoolChanges").Inc()
	}
	a.config, a.since = c, since
}

// isNew reports whether a scope has begun too recently for the prefixes in use to be in the engines' caches.
func (a *scopeAges) isNew(scope view.CacheScope, now time.Time) bool {
	scope.Homes = ""
	at := a.since[scope]
	return !at.IsZero() && now.Sub(at) <= defaultCacheRetention
}
