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

// statusClientClosed is the customary status of a request whose caller has gone; nobody reads it.
const statusClientClosed = 499

// shape is how a code looks to callers.
type shape struct {
	status int
	kind   string
}

// Types of errors as OpenAI clients know them.
const (
	typeInvalid    = "invalid_request_error"
	typeAuth       = "authentication_error"
	typePermission = "permission_error"
	typeNotFound   = "not_found_error"
	typeRate       = "rate_limit_error"
	typeConflict   = "conflict_error"
	typeServer     = "server_error"
)

var shapes = map[serve.Code]shape{
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
	serve.CodeCancelled:            {statusClientClosed, typeServer},
}

// asRefusal returns the error as an *serve.Error. An error of another type came from the caller's connection.
func asRefusal(err error) *serve.Error {
	var refusal *serve.Error
	if errors.As(err, &refusal) {
		return refusal
	}
	return &serve.Error{Code: serve.CodeCancelled, RunStatus: serve.MayHaveRun, Message: "the caller went away", Err: err}
}

// errorBody returns the message of a refusal to the caller.
func errorBody(ctx context.Context, e *serve.Error) *openai.Error {
	return &openai.Error{
		Message:      e.Message,
		Type:         shapes[e.Code].kind,
		Code:         string(e.Code),
		RequestID:    string(requestOf(ctx)),
		RunStatus:    ranOf(e.RunStatus),
		RetryAfterMs: e.RetryAfter.Milliseconds(),
	}
}

func ranOf(r serve.RunStatus) openai.RunStatus {
	switch r {
	case serve.NotRun:
		return openai.RunStatusNotRun
	case serve.HasRun:
		return openai.RunStatusRan
	default:
		return openai.RunStatusUnknown
	}
}

// writeError answers a request with a refusal. It is the error encoder of all endpoints.
func writeError(ctx context.Context, w http.ResponseWriter, err error) {
	refusal := asRefusal(err)
	writeStatus(ctx, w, shapes[refusal.Code].status, refusal)
}

func writeStatus(ctx context.Context, w http.ResponseWriter, status int, refusal *serve.Error) {
	record(ctx, refusal)
	if refusal.RetryAfter > 0 {
		seconds := (refusal.RetryAfter + time.Second - 1) / time.Second
		w.Header().Set(headerRetryAfter, strconv.FormatInt(int64(seconds), 10))
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(openai.ErrorBody{Error: *errorBody(ctx, refusal)})
}

// record logs and counts a refusal.
func record(ctx context.Context, refusal *serve.Error) {
	metrics.GetOrCreateCounter(fmt.Sprintf(`gooseberrywayRefusals{code=%q}`, refusal.Code)).Inc()
	klog.V(1).InfoS("Refused", "requestId", requestOf(ctx), "code", refusal.Code, "ran", ranOf(refusal.RunStatus), "err", refusal.Err)
}
