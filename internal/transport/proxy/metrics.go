package proxy

import (
	"errors"
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// recordRequest updates the metrics for a request that has ended.
func recordRequest(c *call, err error) {
	reason := "answered"
	var refusal *RefusedError
	switch {
	case c.callerLeft():
		reason = "callerLeft"
	case errors.As(err, &refusal):
		reason = string(refusal.Reason)
	case err != nil:
		reason = "cut"
	}
	kind := kindName(c)
	metrics.GetOrCreateCounter(fmt.Sprintf(`gooseberrywayRequests{kind=%q,outcome=%q}`, kind, reason)).Inc()
	metrics.GetOrCreateHistogram(fmt.Sprintf(`gooseberrywayRequestSeconds{kind=%q}`, kind)).Update(time.Since(c.arrived).Seconds())
	if !c.reply.firstByteAt.IsZero() {
		metrics.GetOrCreateHistogram(fmt.Sprintf(`gooseberrywayFirstByteSeconds{kind=%q}`, kind)).
			Update(c.reply.firstByteAt.Sub(c.arrived).Seconds())
	}
}

// countLateRequest counts a request that is sent although it is expected to miss its target latency, at a lower
// priority than those that can meet theirs.
func countLateRequest(c *call) {
	metrics.GetOrCreateCounter(fmt.Sprintf(`gooseberrywayLateRequests{kind=%q}`, kindName(c))).Inc()
}

// countForeignAnswer counts an answer that isn't believed to be to the request that got it.
func countForeignAnswer(rejection bool) {
	metrics.GetOrCreateCounter(fmt.Sprintf(`gooseberrywayForeignAnswers{rejection="%t"}`, rejection)).Inc()
}

// countRefusedContinuation counts a response that doesn't go on with a stream that has broken off.
func countRefusedContinuation() {
	metrics.GetOrCreateCounter("gooseberrywayRefusedContinuations").Inc()
}

// countDetour counts a request that was passed on to a peer.
func countDetour(outcome string) {
	metrics.GetOrCreateCounter(fmt.Sprintf(`gooseberrywayPassedRequests{outcome=%q}`, outcome)).Inc()
}

// recordReplacedWeights records how long weights had been replaced when a request began on them.
func recordReplacedWeights(d time.Duration) {
	metrics.GetOrCreateHistogram("gooseberrywayReplacedWeightsSeconds").Update(d.Seconds())
}

// countCallBack counts an attempt that was called back because its weights neared their limit before its first token.
func countCallBack(c *call) {
	metrics.GetOrCreateCounter(fmt.Sprintf(`gooseberrywayCallBacks{kind=%q,repeatable="%t"}`, kindName(c), c.route.Repeatable())).Inc()
}

// countSilentAttempt counts an attempt whose upstream is silent: one that is given up, or goes on as there is an obstacle to another one.
func countSilentAttempt(o obstacle) {
	metrics.GetOrCreateCounter(fmt.Sprintf(`gooseberrywaySilentAttempts{obstacle=%q}`, o)).Inc()
}

// countSpare counts an attempt beside one that a planned stop was about to end.
func countSpare(s *spare) {
	metrics.GetOrCreateCounter(fmt.Sprintf(`gooseberrywaySpareAttempts{answered="%t"}`, s.answer != nil)).Inc()
}

// countSilentPeer does the same for a peer that runs a request.
func countSilentPeer(o obstacle) {
	metrics.GetOrCreateCounter(fmt.Sprintf(`gooseberrywaySilentPeers{obstacle=%q}`, o)).Inc()
}

// countUnstatedPromise counts an upstream's status that callers would take for the promise that a request has not run, without the
// header that states it.
func countUnstatedPromise(status int) {
	metrics.GetOrCreateCounter(fmt.Sprintf(`gooseberrywayUnstatedPromises{status="%d"}`, status)).Inc()
}

// countUnsignedSuccess counts a 2xx without the signature of its upstream.
func countUnsignedSuccess() { metrics.GetOrCreateCounter("gooseberrywayUnsignedSuccesses").Inc() }

// countNoAnswer counts bytes of an upstream that are no answer: a malformed head, or one that came before the request was sent.
func countNoAnswer() { metrics.GetOrCreateCounter("gooseberrywayNoAnswers").Inc() }

func kindName(c *call) string {
	if c.route == nil {
		return "none"
	}
	return [...]string{"none", "idempotent", "once", "stream"}[c.route.Kind]
}
