package moves

import (
	"maps"
	"time"

	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

// latencyBase is how fast a version answers on a route. It is kept for the version that serves, so that a move has
// something to compare with from its first request on.
type latencyBase struct {
	ttft [uncachedClasses]latencyMean
	// ratios holds the times to first token of all classes, each relative to the mean of its class.
	ratios latencyHistogram
	itl    latencyHistogram
}

type baseKey struct {
	routeKey
	version ident.VersionID
}

func (b *latencyBase) addTTFT(class int, ttft time.Duration) {
	b.ttft[class].add(ttft)
	if mean := b.ttft[class].mean(); mean > 0 {
		b.ratios.add(time.Duration(float64(ttft) / float64(mean) * float64(ratioUnit)))
	}
}

// ttftLimits returns the limit of each class: its mean times the quantile of the ratios and the slack in percent.
// A class with too few samples gets the limit of the next one with more work; 0 is unknown.
func (b *latencyBase) ttftLimits(slack int) [uncachedClasses]time.Duration {
	var limits [uncachedClasses]time.Duration
	ratio := float64(b.ratios.limit()) / float64(ratioUnit)
	limit := time.Duration(0)
	for class := uncachedClasses - 1; class >= 0; class-- {
		if mean := b.ttft[class].mean(); mean > 0 {
			limit = time.Duration(float64(mean) * ratio * float64(slack) / 100)
		}
		limits[class] = limit
	}
	return limits
}

func (b *latencyBase) itlLimit(slack int) time.Duration {
	return b.itl.limit() * time.Duration(slack) / 100
}

// base returns the latencies of a version on a route, nil when there are too many routes.
func (w *Watch) base(key baseKey) *latencyBase {
	if all := w.bases.Load(); all != nil {
		if b := (*all)[key]; b != nil || len(*all) >= baselineRoutes {
			return b
		}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	next := map[baseKey]*latencyBase{}
	if all := w.bases.Load(); all != nil {
		if b := (*all)[key]; b != nil {
			return b
		}
		maps.Copy(next, *all)
	}
	b := &latencyBase{}
	next[key] = b
	w.bases.Store(&next)
	return b
}

// forgetBases drops the latencies of versions that no longer serve their route.
func (w *Watch) forgetBases(t *splitTable) {
	w.mu.Lock()
	defer w.mu.Unlock()
	all := w.bases.Load()
	if all == nil {
		return
	}
	next := maps.Clone(*all)
	maps.DeleteFunc(next, func(key baseKey, _ *latencyBase) bool { return t.base(key.routeKey) != key.version })
	if len(next) != len(*all) {
		w.bases.Store(&next)
	}
}
