package relay

import (
	"errors"
	"fmt"

	"github.com/VictoriaMetrics/metrics"
	"k8s.io/klog/v2"

	"github.com/gooseberryway/gooseberryway/internal/state/extern"
)

var (
	wholeAttempts     = metrics.NewCounter(`gooseberrywayRelayAttempts{outcome="whole"}`)
	cancelledAttempts = metrics.NewCounter(`gooseberrywayRelayAttempts{outcome="cancelled"}`)
	resumptions       = metrics.NewCounter("gooseberrywayRelayResumptions")
)

// countAttempt counts an attempt by its outcome: whole, cancelled or the kind of failure.
func countAttempt(report AttemptResult) {
	up, ok := errors.AsType[*extern.UpstreamError](report.Err)
	switch {
	case report.Err == nil:
		wholeAttempts.Inc()
	case report.Cancelled:
		cancelledAttempts.Inc()
	case ok:
		metrics.GetOrCreateCounter(fmt.Sprintf(`gooseberrywayRelayAttempts{outcome=%q}`, up.Kind)).Inc()
	default:
		metrics.GetOrCreateCounter(`gooseberrywayRelayAttempts{outcome="other"}`).Inc()
	}
}

// countFailure counts a request without a whole answer by the reason.
func countFailure(e *RunError) {
	metrics.GetOrCreateCounter(fmt.Sprintf(`gooseberrywayRelayFailures{reason=%q,begun="%t"}`, e.Reason, e.Delivered > 0)).Inc()
}

// logResumption tells of an answer that is about to go on elsewhere.
func (s *run) logResumption(err error) {
	resumptions.Inc()
	klog.InfoS("Resuming an answer on another engine", "requestId", s.req.Request, "organisation", s.req.Organisation,
		"route", s.req.Route, "version", s.req.Version, "delivered", s.delivered, "failed", s.tried[len(s.tried)-1], "err", err)
}
