package moves

import (
	"maps"
	"time"

	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

// latencyBase is how fast a version answers on a route. It is kept for the version that serves, so that a move has
// something to compare with from its first request on.
type latencyBase struct {
	// ttft are the times to first token, by the work before it; itl the times between tokens, by the work that the
	// engine had for others when they began.
	ttft, itl classLatency
}

// classLatency holds latencies that depend on the engine's work.
type classLatency struct {
	means [workClasses]latencyMean
	// ratios holds the latencies of all classes, each relative to the mean of its class.
	ratios latencyHistogram
}

type baseKey struct {
	routeKey
	version ident.VersionID
}

func (l *classLatency) add(class int, d time.Duration) {
	l.means[class].add(d)
	if mean := l.means[class].mean(); mean > 0 {
		l.ratios.add(time.Duration(float64(d) / float64(mean) * float64(ratioUnit)))
	}
}

// known reports whether there are enough samples for limits.
func (l *classLatency) known() bool { return l.ratios.total.Load() >= limitSamples }

// limits returns the limit of each class: its mean times the quantile of the ratios and the slack in percent.
// A class with too few samples gets the limit of the next one with more work. Where there is none, the work outweighs
// what an answer takes without any, and a class gets twice the limit of the one before; 0 is unknown.
func (l *classLatency) limits(slack int) [workClasses]time.Duration {
	var limits [workClasses]time.Duration
	ratio := float64(l.ratios.limit()) / float64(ratioUnit)
	limit := time.Duration(0)
	for class := workClasses - 1; class >= 0; class-- {
		if mean := l.means[class].mean(); mean > 0 {
			limit = time.Duration(float64(mean) * ratio * float64(slack) / 100)
		}
		limits[class] = limit
	}
	for class := 2; class < workClasses; class++ {
		if limits[class] == 0 {
			limits[class] = 2 * limits[class-1]
		}
	}
	return limits
}

// base returns the latencies of a version on a route, nil when there are too many routes.
func (w *Monitor) base(key baseKey) *latencyBase {
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
func (w *Monitor) forgetBases(t *splitTable) {
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
