package caller

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"k8s.io/klog/v2"

	"github.com/gooseberryway/gooseberryway/internal/coordination/serve"
	"github.com/gooseberryway/gooseberryway/internal/protocol/openai"
)

// statusClientClosedRequest is nginx's status for a request whose caller has disconnected; no caller receives it.
const statusClientClosedRequest = 499

// errorMapping is the HTTP status and the OpenAI error type of an error code.
type errorMapping struct {
	status    int
	errorType string
}

// Error types of the OpenAI API.
const (
	typeInvalid    = "invalid_request_error"
	typeAuth       = "authentication_error"
	typePermission = "permission_error"
	typeNotFound   = "not_found_error"
	typeRate       = "rate_limit_error"
	typeConflict   = "conflict_error"
	typeServer     = "server_error"
)

var errorMappings = map[serve.Code]errorMapping{
	serve.CodeInvalidRequest:       {http.StatusBadRequest, typeInvalid},
	serve.CodeBodyTooLarge:         {http.StatusRequestEntityTooLarge, typeInvalid},
	serve.CodeKeyMissing:           {http.StatusUnauthorized, typeAuth},
	serve.CodeKeyInvalid:           {http.StatusUnauthorized, typeAuth},
	serve.CodeKeyWithdrawn:         {http.StatusUnauthorized, typeAuth},
	serve.CodeOrganisationDisabled: {http.StatusForbidden, typePermission},
	serve.CodeRouteNotFound:        {http.StatusNotFound, typeNotFound},
	serve.CodeModelNotFound:        {http.StatusNotFound, typeNotFound},
	serve.CodeRateLimited:          {http.StatusTooManyRequests, typeRate},
	serve.CodeCostAboveBurst:       {http.StatusBadRequest, typeInvalid},
	serve.CodeNoLease:              {http.StatusServiceUnavailable, typeServer},
	serve.CodeDraining:             {http.StatusServiceUnavailable, typeServer},
	serve.CodeLimitsUnavailable:    {http.StatusServiceUnavailable, typeServer},
	serve.CodeClaimUnavailable:     {http.StatusServiceUnavailable, typeServer},
	serve.CodeAlreadyRan:           {http.StatusConflict, typeConflict},
	serve.CodeKeyReused:            {http.StatusUnprocessableEntity, typeInvalid},
	serve.CodeNoUpstream:           {http.StatusServiceUnavailable, typeServer},
	serve.CodeUpstreamFailed:       {http.StatusBadGateway, typeServer},
	serve.CodeOverloaded:           {http.StatusServiceUnavailable, typeServer},
	serve.CodeTimeout:              {http.StatusGatewayTimeout, typeServer},
	serve.CodeCancelled:            {statusClientClosedRequest, typeServer},
}

// asServeError returns the *serve.Error in err's chain. Any other error comes from writing to the caller's connection,
// which means that the caller has disconnected.
func asServeError(err error) *serve.Error {
	var serveErr *serve.Error
	if errors.As(err, &serveErr) {
		return serveErr
	}
	return &serve.Error{Code: serve.CodeCancelled, RunStatus: serve.MayHaveRun, Message: "the caller went away", Err: err}
}

// errorBody returns the error object that is sent to the caller.
func errorBody(ctx context.Context, e *serve.Error) *openai.Error {
	return &openai.Error{
		Message:      e.Message,
		Type:         errorMappings[e.Code].errorType,
		Code:         string(e.Code),
		RequestID:    string(requestIDFromContext(ctx)),
		RunStatus:    wireRunStatus(e.RunStatus),
		RetryAfterMs: e.RetryAfter.Milliseconds(),
	}
}

// wireRunStatus converts a run status to its value in the API.
func wireRunStatus(r serve.RunStatus) openai.RunStatus {
	switch r {
	case serve.NotRun:
		return openai.RunStatusNotRun
	case serve.HasRun:
		return openai.RunStatusRan
	default:
		return openai.RunStatusUnknown
	}
}

// writeError writes an error response with the status of its code. It is the error encoder of all endpoints.
func writeError(ctx context.Context, w http.ResponseWriter, err error) {
	serveErr := asServeError(err)
	writeStatus(ctx, w, errorMappings[serveErr.Code].status, serveErr)
}

// writeStatus records the error and writes an error response with the given status.
func writeStatus(ctx context.Context, w http.ResponseWriter, status int, serveErr *serve.Error) {
	recordRefusal(ctx, serveErr)
	if serveErr.RetryAfter > 0 {
		seconds := (serveErr.RetryAfter + time.Second - 1) / time.Second
		w.Header().Set(headerRetryAfter, strconv.FormatInt(int64(seconds), 10))
	}
	if isMultiplexed(ctx) && isOfStranger(serveErr.Code) {
		// Many more requests of the same caller may wait on the connection.
		w.Header().Set("Connection", "close")
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(openai.ErrorBody{Error: *errorBody(ctx, serveErr)})
}

// isOfStranger reports whether a request was refused because it isn't known whose it is.
func isOfStranger(code serve.Code) bool {
	switch code {
	case serve.CodeKeyMissing, serve.CodeKeyInvalid, serve.CodeKeyWithdrawn, serve.CodeRouteNotFound:
		return true
	default:
		return false
	}
}

// recordRefusal counts and logs a failed request by its code.
func recordRefusal(ctx context.Context, serveErr *serve.Error) {
	metrics.GetOrCreateCounter(fmt.Sprintf(`gooseberrywayRefusals{code=%q}`, serveErr.Code)).Inc()
	klog.V(1).InfoS("Request refused or failed", "requestId", requestIDFromContext(ctx), "code", serveErr.Code,
		"ran", wireRunStatus(serveErr.RunStatus), "err", serveErr.Err)
}
