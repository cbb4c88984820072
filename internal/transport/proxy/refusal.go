package proxy

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"
)

// Reason says why a request was refused or failed. Callers get it in the response body.
type Reason string

// Reasons for refusals and failures.
const (
	ReasonStarting             Reason = "starting"
	ReasonHTTPVersion          Reason = "httpVersionNotSupported"
	ReasonNoRoute              Reason = "noRoute"
	ReasonUnknownKey           Reason = "unknownKey"
	ReasonBodyTooLarge         Reason = "bodyTooLarge"
	ReasonBodyBroken           Reason = "bodyBroken"
	ReasonBodyMemory           Reason = "noMemoryForBody"
	ReasonMemory               Reason = "noMemory"
	ReasonOverLimit            Reason = "overLimit"
	ReasonNoUpstream           Reason = "noUpstreamTakesIt"
	ReasonUpstreamsRefused     Reason = "upstreamsRefused"
	ReasonTimeout              Reason = "timeout"
	ReasonTimeoutBeforeSending Reason = "timeoutBeforeSending"
	ReasonUpstreamBroken       Reason = "upstreamBroke"
	ReasonResponseMismatch     Reason = "answerToAnotherRequest"
	ReasonUnreachable          Reason = "upstreamsUnreachable"
	ReasonTooLate              Reason = "tooLateToServe"
	ReasonQuarantined          Reason = "promptPartQuarantined"
	ReasonRequestQuarantined   Reason = "requestQuarantined"
	ReasonStopping             Reason = "stopping"
	ReasonPeerBroke            Reason = "peerBroke"
	ReasonPeerBusy             Reason = "peerBusy"
	ReasonWeightsReplaced      Reason = "weightsReplaced"
)

// RefusedError is the daemon's own final response to a request for which it forwards none from an upstream.
type RefusedError struct {
	Status int
	Reason Reason
	// RetryAfter is how long the caller should wait before it retries. It is sent only if the request has not run.
	RetryAfter time.Duration
}

func (e *RefusedError) Error() string { return fmt.Sprintf("status %d: %s", e.Status, e.Reason) }

// NotRun reports whether the status promises that the request has not run.
func (e *RefusedError) NotRun() bool { return promisesNotRun(e.Status) }

// isMemoryRefusal reports whether a request was refused for want of memory.
func isMemoryRefusal(err error) bool {
	var refusal *RefusedError
	return errors.As(err, &refusal) && (refusal.Reason == ReasonMemory || refusal.Reason == ReasonBodyMemory)
}

// promisesNotRun reports whether callers take a status for the promise that the request has not run and never will.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	default:
		return false
	}
}

// unavailableError returns a 503 refusal, which promises that the request has not run.
func unavailableError(reason Reason, after time.Duration) *RefusedError {
	return &RefusedError{Status: http.StatusServiceUnavailable, Reason: reason, RetryAfter: addJitter(after)}
}

// addJitter lengthens d by up to a quarter, so that callers that were refused together don't retry together.
func addJitter(d time.Duration) time.Duration {
	if d <= 0 {
		return 0
	}
	return d + rand.N(d/4+1)
}

// write sends the refusal to the caller.
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
	// An error means that the caller has disconnected, so there is nobody to report it to.
	_, _ = w.Write(body)
}
