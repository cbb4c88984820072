package caller

import (
	"context"
	"crypto/sha256"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/gooseberryway/gooseberryway/internal/coordination/serve"
	"github.com/gooseberryway/gooseberryway/internal/protocol/openai"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
	"github.com/gooseberryway/gooseberryway/internal/state/memory"
	"github.com/gooseberryway/gooseberryway/internal/transport/intake"
	"github.com/gooseberryway/gooseberryway/internal/transport/rest"
)

// singleValueHeaders are headers that may occur only once in a request, because proxies and upstreams could disagree on
// which of two values counts.
var singleValueHeaders = []string{headerAuthorization, headerIdempotencyKey, headerTimeout, "Content-Type"}

// completionRequest is a decoded completion request. A timeout of 0 means that the caller set none.
type completionRequest struct {
	kind           openai.Kind
	request        *openai.Request
	serviceRequest *serve.CompletionRequest
	timeout        time.Duration
}

// completionDecoder returns the request decoder for a kind of completion. Its errors are *serve.Error.
func (s *Server) completionDecoder(
	kind openai.Kind, decode func([]byte) (*openai.Request, error),
) func(context.Context, *http.Request) (*completionRequest, error) {
	return func(ctx context.Context, r *http.Request) (*completionRequest, error) {
		params, err := decodeCommon(r)
		if err != nil {
			return nil, err
		}
		if err = s.Service.CheckCompletion(params.credentials, completionPrefix(r)); err != nil {
			return nil, err
		}
		body, err := s.readBody(ctx, r, completionCopies)
		if err != nil {
			return nil, err
		}
		req, err := decode(body)
		if err != nil {
			return nil, &serve.Error{Code: serve.CodeInvalidRequest, Message: err.Error()}
		}
		return &completionRequest{
			kind: kind, request: req, timeout: params.timeout, serviceRequest: newServiceRequest(ctx, r, params, req, body),
		}, nil
	}
}

// completionPrefix returns the path prefix of the route of a completion request; empty for none.
func completionPrefix(r *http.Request) string {
	return strings.TrimSuffix(strings.TrimSuffix(r.URL.Path, pathChatCompletions), pathCompletions)
}

// newServiceRequest returns the request to the completion service. The digest of the body is needed only to recognise an
// idempotency key that is reused for another request.
func newServiceRequest(
	ctx context.Context, r *http.Request, params commonParameters, req *openai.Request, body []byte,
) *serve.CompletionRequest {
	request := &serve.CompletionRequest{
		RequestID:      requestIDFromContext(ctx),
		Credentials:    params.credentials,
		PathPrefix:     completionPrefix(r),
		Model:          req.Model,
		Prompt:         req.Prompt,
		MaxTokens:      req.MaxTokens,
		Seed:           req.Seed,
		Sampling:       req.Sampling,
		IdempotencyKey: params.idempotencyKey,
	}
	if params.idempotencyKey != "" {
		request.Digest = sha256.Sum256(body)
	}
	return request
}

// commonParameters are the parameters that every request of a caller may have. A timeout of 0 means that none is set.
type commonParameters struct {
	credentials    serve.Credentials
	idempotencyKey string
	timeout        time.Duration
}

// decodeCommon decodes the headers that all requests share. The error is a *serve.Error.
func decodeCommon(r *http.Request) (commonParameters, error) {
	var params commonParameters
	for _, name := range singleValueHeaders {
		if len(r.Header.Values(name)) > 1 {
			return params, &serve.Error{Code: serve.CodeInvalidRequest, Message: "the header " + name + " occurs twice"}
		}
	}
	credentials, err := decodeCredentials(r)
	if err != nil {
		return params, err
	}
	timeout, err := decodeTimeout(r.Header.Get(headerTimeout))
	if err != nil {
		return params, err
	}
	key := r.Header.Get(headerIdempotencyKey)
	if len(key) > maxIdempotencyKeyBytes {
		return params, &serve.Error{Code: serve.CodeInvalidRequest, Message: fmt.Sprintf("the idempotency key is longer than %d bytes", maxIdempotencyKeyBytes)}
	}
	return commonParameters{credentials: credentials, idempotencyKey: key, timeout: timeout}, nil
}

// decodeCredentials decodes the bearer key; a request without an Authorization header has no key.
func decodeCredentials(r *http.Request) (serve.Credentials, error) {
	header := r.Header.Get(headerAuthorization)
	if header == "" {
		return serve.Credentials{}, nil
	}
	scheme, key, ok := strings.Cut(header, " ")
	key = strings.TrimSpace(key)
	if !ok || !strings.EqualFold(scheme, "Bearer") || key == "" {
		return serve.Credentials{}, &serve.Error{Code: serve.CodeKeyInvalid, Message: "the Authorization header is not of the form Bearer KEY"}
	}
	return serve.Credentials{HasKey: true, KeyDigest: ident.DigestOf(key)}, nil
}

// decodeTimeout decodes a timeout in milliseconds; the empty header gives 0.
func decodeTimeout(header string) (time.Duration, error) {
	if header == "" {
		return 0, nil
	}
	ms, err := strconv.ParseInt(header, 10, 64)
	if err != nil || ms < 1 || ms > maxCallerTimeout.Milliseconds() {
		return 0, &serve.Error{
			Code:    serve.CodeInvalidRequest,
			Message: fmt.Sprintf("%s is not a number of milliseconds from 1 to %d", headerTimeout, maxCallerTimeout.Milliseconds()),
		}
	}
	return time.Duration(ms) * time.Millisecond, nil
}

// readBody reads a body of at most MaxBodyBytes within BodyTimeout, for a caller who is known, and takes the memory of the request. The error is a
// *serve.Error.
func (s *Server) readBody(ctx context.Context, r *http.Request, copies memory.Bytes) ([]byte, error) {
	if s.Service.OpenRequests() >= s.MaxOpenRequests {
		return nil, &serve.Error{Code: serve.CodeOverloaded, Message: "this daemon has too many open requests", RetryAfter: overloadedRetryAfter}
	}
	if !intake.HoldRequest(r, requestBytes) {
		return nil, &serve.Error{Code: serve.CodeOverloaded, Message: "this daemon has no memory for the request now", RetryAfter: memoryRetryAfter}
	}
	body, err := rest.ReadBody(ctx, r, s.MaxBodyBytes, s.BodyTimeout, copies)
	var bodyErr *rest.BodyError
	if !errors.As(err, &bodyErr) {
		return body, nil
	}
	e := &serve.Error{Code: serve.CodeInvalidRequest, Message: bodyErr.Error(), Err: bodyErr.Err}
	switch bodyErr.Kind {
	case rest.BodyTooLarge:
		e.Code = serve.CodeBodyTooLarge
	case rest.BodyNoMemory:
		e.Code, e.RetryAfter = serve.CodeOverloaded, memoryRetryAfter
	default:
	}
	return nil, e
}
