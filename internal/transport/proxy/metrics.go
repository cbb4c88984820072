package proxy

import (
	"errors"
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// observe counts a request that has ended.
func observe(c *call, err error) {
	reason := "answered"
	var refusal *RefusedError
	switch {
	case c.gone():
		reason = "callerLeft"
	case errors.As(err, &refusal):
		reason = string(refusal.Reason)
	case err != nil:
		reason = "cut"
	}
	kind := kindName(c)
	metrics.GetOrCreateCounter(fmt.Sprintf(`gooseberrywayRequests{kind=%q,outcome=%q}`, kind, reason)).Inc()
	metrics.GetOrCreateHistogram(fmt.Sprintf(`gooseberrywayRequestSeconds{kind=%q}`, kind)).Update(time.Since(c.arrived).Seconds())
	if !c.firstAt.IsZero() {
		metrics.GetOrCreateHistogram(fmt.Sprintf(`gooseberrywayFirstByteSeconds{kind=%q}`, kind)).
			Update(c.firstAt.Sub(c.arrived).Seconds())
	}
}

// countLate counts a request that is sent behind those that can be in time.
func countLate(c *call) {
	metrics.GetOrCreateCounter(fmt.Sprintf(`gooseberrywayLateRequests{kind=%q}`, kindName(c))).Inc()
}

func kindName(c *call) string {
	if c.route == nil {
		return "none"
	}
	return [...]string{"none", "idempotent", "once", "stream"}[c.route.Kind]
}
