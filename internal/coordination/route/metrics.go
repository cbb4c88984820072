package route

import (
	"github.com/VictoriaMetrics/metrics"

	"github.com/gooseberryway/gooseberryway/internal/state/extern"
)

var (
	promptTokens   = metrics.NewCounter("gooseberrywayRoutePromptTokens")
	cachedTokens   = metrics.NewCounter("gooseberrywayRouteCachedTokens")
	expectedTokens = metrics.NewCounter("gooseberrywayRouteExpectedCachedTokens")
)

var decisions = map[Reason]*metrics.Counter{
	ReasonBaseline:   metrics.NewCounter(`gooseberrywayRouteDecisions{reason="baseline"}`),
	ReasonPrefixHit:  metrics.NewCounter(`gooseberrywayRouteDecisions{reason="holder"}`),
	ReasonNoPrefix:   metrics.NewCounter(`gooseberrywayRouteDecisions{reason="placed"}`),
	ReasonReplicated: metrics.NewCounter(`gooseberrywayRouteDecisions{reason="replicated"}`),
	ReasonImported:   metrics.NewCounter(`gooseberrywayRouteDecisions{reason="imported"}`),
}

// countFinished counts a finished attempt in the metrics.
func countFinished(d Decision, done *extern.EngineDone) {
	promptTokens.Add(int(done.PromptTokens))
	cachedTokens.Add(int(done.CachedTokens))
	expectedTokens.Add(int(d.ExpectedCachedTokens))
	if c := decisions[d.Reason]; c != nil {
		c.Inc()
	}
}
