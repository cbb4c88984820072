package proxy

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"
)

// Reason tells why a request was refused or failed.
type Reason string

// Reasons.
const (
	ReasonStarting             Reason = "starting"
	ReasonNoRoute              Reason = "noRoute"
	ReasonUnknownKey           Reason = "unknownKey"
	ReasonBodyTooLarge         Reason = "bodyTooLarge"
	ReasonBodyBroken           Reason = "bodyBroken"
	ReasonOverLimit            Reason = "overLimit"
	ReasonNoUpstream           Reason = "noUpstreamTakesIt"
	ReasonUpstreamsRefused     Reason = "upstreamsRefused"
	ReasonTimeout              Reason = "timeout"
	ReasonTimeoutBeforeSending Reason = "timeoutBeforeSending"
	ReasonUpstreamBroken       Reason = "upstreamBroke"
	ReasonResponseMismatch     Reason = "answerToAnotherRequest"
	ReasonUnreachable          Reason = "upstreamsUnreachable"
	ReasonTooLate              Reason = "tooLateToServe"
)

// RefusedError is the final answer to a request that got none of an upstream.
type RefusedError struct {
	Status int
	Reason Reason
	// RetryAfter is when the caller may come back; only for requests that have not run.
	RetryAfter time.Duration
}

func (e *RefusedError) Error() string { return fmt.Sprintf("status %d: %s", e.Status, e.Reason) }

// NotRun reports whether the status promises that the request has not run.
func (e *RefusedError) NotRun() bool {
	return e.Status == http.StatusServiceUnavailable || e.Status == http.StatusTooManyRequests
}

// refused returns a refusal that promises that the request has not run.
func refused(reason Reason, after time.Duration) *RefusedError {
	return &RefusedError{Status: http.StatusServiceUnavailable, Reason: reason, RetryAfter: spread(after)}
}

// spread lengthens a time by up to a quarter, so that callers who were refused together don't return together.
func spread(d time.Duration) time.Duration {
	if d <= 0 {
		return 0
	}
	return d + rand.N(d/4+1)
}

// write sends the refusal.
func (e *RefusedError) write(w http.ResponseWriter, d Dialect) {
	h := w.Header()
	body, err := json.Marshal(map[string]string{"error": string(e.Reason)})
	if err != nil {
		body = nil
	}
	h.Set("Content-Type", "application/json")
	h.Set("Content-Length", strconv.Itoa(len(body)))
	if e.NotRun() && e.RetryAfter > 0 {
		d.SetRetryAfter(h, e.RetryAfter)
	}
	w.WriteHeader(e.Status)
	// The caller may have gone, which needs no answer.
	_, _ = w.Write(body)
}
