package moves

import (
	"maps"
	"time"

	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

// latencyBaseline holds the latencies of one version on one route. It is kept for the version that serves, so that a
// move has a comparison from its first request on.
type latencyBaseline struct {
	// ttft holds the times to first token, by the class of the engine's work before the first token; itl the times
	// between tokens, by the class of the engine's outstanding work for other requests when the first token came.
	ttft, itl classLatency
}

// classLatency holds latencies by work class (see workClass).
type classLatency struct {
	means [workClasses]latencyMean
	// ratios holds each latency divided by the mean of its class, in units of ratioUnit, so that all classes share
	// one distribution.
	ratios latencyHistogram
}

type baselineKey struct {
	routeKey
	version ident.VersionID
}

func (l *classLatency) add(class int, d time.Duration) {
	l.means[class].add(d)
	if mean := l.means[class].mean(); mean > 0 {
		l.ratios.add(time.Duration(float64(d) / float64(mean) * float64(ratioUnit)))
	}
}

// hasEnoughSamples reports whether there are enough samples to derive limits.
func (l *classLatency) hasEnoughSamples() bool { return l.ratios.total.Load() >= limitMinSamples }

// limits returns the latency above which an answer is slow, for each class: the mean of the class times the limit
// quantile of the ratios times allowedPercent. A class with too few samples takes the limit of the next class with
// more work. If there is none, the work dominates the latency, and the class gets twice the limit of the class
// before; 0 means unknown.
func (l *classLatency) limits(allowedPercent int) [workClasses]time.Duration {
	var limits [workClasses]time.Duration
	ratio := float64(l.ratios.limit()) / float64(ratioUnit)
	limit := time.Duration(0)
	for class := workClasses - 1; class >= 0; class-- {
		if mean := l.means[class].mean(); mean > 0 {
			limit = time.Duration(float64(mean) * ratio * float64(allowedPercent) / 100)
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

// baselineFor returns the latencies of a version on a route, nil when maxBaselineRoutes is reached.
func (m *Monitor) baselineFor(key baselineKey) *latencyBaseline {
	if all := m.baselines.Load(); all != nil {
		if b := (*all)[key]; b != nil || len(*all) >= maxBaselineRoutes {
			return b
		}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	next := map[baselineKey]*latencyBaseline{}
	if all := m.baselines.Load(); all != nil {
		if b := (*all)[key]; b != nil {
			return b
		}
		maps.Copy(next, *all)
	}
	b := &latencyBaseline{}
	next[key] = b
	m.baselines.Store(&next)
	return b
}

// dropStaleBaselines drops the latencies of versions that no longer serve their route.
func (m *Monitor) dropStaleBaselines(t *splitTable) {
	m.mu.Lock()
	defer m.mu.Unlock()
	all := m.baselines.Load()
	if all == nil {
		return
	}
	next := maps.Clone(*all)
	maps.DeleteFunc(next, func(key baselineKey, _ *latencyBaseline) bool { return t.servingVersion(key.routeKey) != key.version })
	if len(next) != len(*all) {
		m.baselines.Store(&next)
	}
}
