package relay

import (
	"errors"
	"fmt"

	"github.com/VictoriaMetrics/metrics"
	"k8s.io/klog/v2"

	"github.com/gooseberryway/gooseberryway/internal/state/extern"
)

var (
	completeAttempts  = metrics.NewCounter(`gooseberrywayRelayAttempts{outcome="whole"}`)
	cancelledAttempts = metrics.NewCounter(`gooseberrywayRelayAttempts{outcome="cancelled"}`)
	resumptions       = metrics.NewCounter("gooseberrywayRelayResumptions")
)

// countAttempt counts an attempt by its outcome: complete, cancelled or the kind of failure.
func countAttempt(result AttemptResult) {
	up, ok := errors.AsType[*extern.UpstreamError](result.Err)
	switch {
	case result.Err == nil:
		completeAttempts.Inc()
	case result.Cancelled:
		cancelledAttempts.Inc()
	case ok:
		metrics.GetOrCreateCounter(fmt.Sprintf(`gooseberrywayRelayAttempts{outcome=%q}`, up.Kind)).Inc()
	default:
		metrics.GetOrCreateCounter(`gooseberrywayRelayAttempts{outcome="other"}`).Inc()
	}
}

// countFailure counts a request without a complete answer by the reason and by whether tokens were delivered.
func countFailure(e *RunError) {
	metrics.GetOrCreateCounter(fmt.Sprintf(`gooseberrywayRelayFailures{reason=%q,begun="%t"}`, e.Reason, e.Delivered > 0)).Inc()
}

// recordResumption counts and logs that an interrupted answer is about to be resumed.
func (s *requestState) recordResumption(err error) {
	resumptions.Inc()
	klog.InfoS("Resuming an answer on another engine", "requestId", s.req.Request, "organisation", s.req.Organisation,
		"route", s.req.Route, "version", s.req.Version, "delivered", s.delivered, "failed", s.triedUpstreams[len(s.triedUpstreams)-1], "err", err)
}
