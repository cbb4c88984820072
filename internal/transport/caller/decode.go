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
	"github.com/gooseberryway/gooseberryway/internal/transport/rest"
)

// singleHeaders may occur only once in a request: two of them could be read differently by others.
var singleHeaders = []string{headerAuthorization, headerIdempotencyKey, headerTimeout, "Content-Type"}

// completion is a decoded completion request.
type completion struct {
	kind    openai.Kind
	request *openai.Request
	call    *serve.CompletionRequest
	timeout time.Duration
}

// decoder returns the decoder of a kind of completion.
func (s *Server) decoder(kind openai.Kind, decode func([]byte) (*openai.Request, error)) func(context.Context, *http.Request) (*completion, error) {
	return func(ctx context.Context, r *http.Request) (*completion, error) {
		common, body, err := s.read(ctx, r)
		if err != nil {
			return nil, err
		}
		req, err := decode(body)
		if err != nil {
			return nil, &serve.Error{Code: serve.CodeInvalidRequest, Message: err.Error()}
		}
		return &completion{kind: kind, request: req, timeout: common.timeout, call: newCall(ctx, r, common, req, body)}, nil
	}
}

func newCall(ctx context.Context, r *http.Request, common common, req *openai.Request, body []byte) *serve.CompletionRequest {
	prefix := strings.TrimSuffix(strings.TrimSuffix(r.URL.Path, pathChat), pathCompletion)
	call := &serve.CompletionRequest{
		RequestID:      requestOf(ctx),
		Credentials:    common.credentials,
		PathPrefix:     prefix,
		Model:          req.Model,
		Prompt:         req.Prompt,
		MaxTokens:      req.MaxTokens,
		Seed:           req.Seed,
		Sampling:       req.Sampling,
		IdempotencyKey: common.idempotencyKey,
	}
	if common.idempotencyKey != "" {
		call.Digest = sha256.Sum256(body)
	}
	return call
}

// common is what every request of a caller may carry.
type common struct {
	credentials    serve.Credentials
	idempotencyKey string
	timeout        time.Duration
}

func decodeCommon(r *http.Request) (common, error) {
	var c common
	for _, name := range singleHeaders {
		if len(r.Header.Values(name)) > 1 {
			return c, &serve.Error{Code: serve.CodeInvalidRequest, Message: "the header " + name + " occurs twice"}
		}
	}
	credentials, err := decodeCredentials(r)
	if err != nil {
		return c, err
	}
	timeout, err := decodeTimeout(r.Header.Get(headerTimeout))
	if err != nil {
		return c, err
	}
	key := r.Header.Get(headerIdempotencyKey)
	if len(key) > maxIdempotencyKeyBytes {
		return c, &serve.Error{Code: serve.CodeInvalidRequest, Message: fmt.Sprintf("the idempotency key is longer than %d bytes", maxIdempotencyKeyBytes)}
	}
	return common{credentials: credentials, idempotencyKey: key, timeout: timeout}, nil
}

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

// read returns what every request may carry, and its body.
func (s *Server) read(ctx context.Context, r *http.Request) (common, []byte, error) {
	c, err := decodeCommon(r)
	if err != nil {
		return c, nil, err
	}
	body, err := s.readBody(ctx, r)
	return c, body, err
}

// readBody reads the body within its limits of size and time.
func (s *Server) readBody(ctx context.Context, r *http.Request) ([]byte, error) {
	body, err := rest.ReadBody(ctx, r, s.MaxBodyBytes, s.BodyTimeout)
	var bodyErr *rest.BodyError
	if !errors.As(err, &bodyErr) {
		return body, nil
	}
	code := serve.CodeInvalidRequest
	if bodyErr.Kind == rest.BodyTooLarge {
		code = serve.CodeBodyTooLarge
	}
	return nil, &serve.Error{Code: code, Message: bodyErr.Error(), Err: bodyErr.Err}
}
