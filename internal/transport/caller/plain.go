package caller

import (
	"context"
	"crypto/sha256"
	"errors"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/gooseberryway/gooseberryway/internal/coordination/serve"
	"github.com/gooseberryway/gooseberryway/internal/state/config"
	"github.com/gooseberryway/gooseberryway/internal/state/extern"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
	"github.com/gooseberryway/gooseberryway/internal/transport/plain"
	"github.com/gooseberryway/gooseberryway/internal/transport/rest"
)

// PlainProxy forwards requests to plain services, which are HTTP services that run no model. Its fields are set before use.
type PlainProxy struct {
	Client *plain.Client
	// NewPicker chooses among the upstreams of a route.
	NewPicker func(*config.Route) plain.Picker
}

// plainRequest is a decoded request to a plain service. A timeout of 0 means that the caller set none.
type plainRequest struct {
	request        *plain.Request
	serviceRequest *serve.PlainRequest
	timeout        time.Duration
}

// admittedPlainRequest is an admitted request with its response: either stored, the response to an earlier request with
// the same idempotency key, or resp, the upstream's response whose body is still to be read.
type admittedPlainRequest struct {
	run    *serve.PlainRun
	resp   *plain.Response
	stored *serve.StoredResponse
	cancel context.CancelFunc
}

func (s *Server) plainHandler() http.Handler {
	return rest.Handler(s.decodePlain, s.startPlain, s.writePlainResponse, writeError)
}

func (s *Server) decodePlain(ctx context.Context, r *http.Request) (*plainRequest, error) {
	params, err := decodeCommon(r)
	if err != nil {
		return nil, err
	}
	if err = s.Service.CheckPlain(params.credentials, r.URL.Path); err != nil {
		return nil, err
	}
	body, err := s.readBody(ctx, r, plainCopies)
	if err != nil {
		return nil, err
	}
	id := requestIDFromContext(ctx)
	_, key, _ := strings.Cut(r.Header.Get(headerAuthorization), " ")
	serviceRequest := &serve.PlainRequest{
		RequestID:      id,
		Credentials:    params.credentials,
		Method:         r.Method,
		Path:           r.URL.Path,
		IdempotencyKey: params.idempotencyKey,
	}
	if params.idempotencyKey != "" {
		serviceRequest.Digest = plainDigest(r, body)
	}
	request := &plain.Request{
		ID:            id,
		Method:        r.Method,
		Path:          r.URL.EscapedPath(),
		RawQuery:      r.URL.RawQuery,
		Header:        r.Header,
		CallerKey:     strings.TrimSpace(key),
		ContentLength: int64(len(body)),
		Buffered:      body,
	}
	return &plainRequest{request: request, serviceRequest: serviceRequest, timeout: params.timeout}, nil
}

// plainDigest returns the digest of a request's method, target and body, by which the reuse of an idempotency key for
// another request is recognised.
func plainDigest(r *http.Request, body []byte) ident.Digest {
	h := sha256.New()
	_, _ = io.WriteString(h, r.Method+"\x00"+r.URL.RequestURI()+"\x00")
	_, _ = h.Write(body)
	return ident.Digest(h.Sum(nil))
}

// startPlain submits a request for admission and, unless its response is stored, sends it to an upstream. The timeout is
// the lower of the route's and the caller's. The error is a *serve.Error.
func (s *Server) startPlain(ctx context.Context, c *plainRequest) (*admittedPlainRequest, error) {
	run, err := s.Service.StartPlain(ctx, c.serviceRequest)
	if err != nil {
		return nil, err
	}
	if run.Stored != nil {
		return &admittedPlainRequest{run: run, stored: run.Stored, cancel: func() {}}, nil
	}
	timeout := run.Timeout
	if c.timeout > 0 {
		timeout = min(timeout, c.timeout)
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	c.request.Route, c.request.Organisation, c.request.Idempotent = run.Route.ID, run.Organisation, run.Idempotent
	c.request.Path = servicePath(c.request.Path, run.Route.PathPrefix)
	resp, err := s.Plain.Client.Do(ctx, c.request, s.Plain.NewPicker(run.Route))
	if err != nil {
		cancel()
		serveErr := plainError(ctx, err)
		if serveErr.RunStatus == serve.NotRun {
			run.Finish(nil)
		}
		run.Close()
		return nil, serveErr
	}
	return &admittedPlainRequest{run: run, resp: resp, cancel: cancel}, nil
}

// servicePath returns the path to request from the service: path without the path prefix of the route.
func servicePath(path, prefix string) string {
	suffix := strings.TrimPrefix(path, strings.TrimSuffix(prefix, "/"))
	if suffix == "" {
		return "/"
	}
	return suffix
}

// plainError converts an error of the plain client to an error for the caller. RunStatus is NotRun if no upstream was
// chosen or the upstream did not run the request.
func plainError(ctx context.Context, err error) *serve.Error {
	var upstreamErr *extern.UpstreamError
	sent := errors.As(err, &upstreamErr) && !upstreamErr.NotRun
	if bodyErr := bodyError(err); bodyErr != nil {
		if sent {
			bodyErr.RunStatus = serve.MayHaveRun
		}
		return bodyErr
	}
	if upstreamErr == nil {
		return &serve.Error{Code: serve.CodeNoUpstream, Message: "no upstream of this route takes calls now", RetryAfter: overloadedRetryAfter, Err: err}
	}
	serveErr := &serve.Error{Code: serve.CodeUpstreamFailed, Message: "the upstream failed", RunStatus: serve.MayHaveRun, Err: err}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		serveErr.Code, serveErr.Message = serve.CodeTimeout, "the call took longer than its route or its caller allows"
	}
	if upstreamErr.NotRun {
		serveErr.RunStatus, serveErr.RetryAfter = serve.NotRun, max(upstreamErr.RetryAfter, overloadedRetryAfter)
	}
	return serveErr
}

// bodyError returns the error for a caller whose own body could not be sent; nil if err has another cause.
func bodyError(err error) *serve.Error {
	var large *plain.BodyTooLargeError
	var unread *plain.BodyReadError
	switch {
	case errors.As(err, &large):
		return &serve.Error{Code: serve.CodeBodyTooLarge, Message: large.Error(), Err: err}
	case errors.As(err, &unread):
		return &serve.Error{Code: serve.CodeInvalidRequest, Message: "the body could not be read", Err: err}
	default:
		return nil
	}
}

// writePlainResponse writes the response of a plain service while it arrives, and stores it for repeats if the request has
// an idempotency key and the body fits in maxStoredBodyBytes.
func (s *Server) writePlainResponse(_ context.Context, w http.ResponseWriter, admitted *admittedPlainRequest) error {
	defer admitted.cancel()
	defer admitted.run.Close()
	if admitted.stored != nil {
		w.Header().Set("Content-Type", admitted.stored.ContentType)
		w.WriteHeader(admitted.stored.Status)
		_, _ = w.Write(admitted.stored.Body)
		return nil
	}
	defer admitted.resp.Body.Close()
	if admitted.resp.NotRun {
		admitted.run.Finish(nil)
	}
	for name, values := range admitted.resp.Header {
		w.Header()[name] = values
	}
	w.WriteHeader(admitted.resp.Status)
	recorder := &bodyRecorder{maxBytes: maxStoredBodyBytes, enabled: admitted.run.Claimed()}
	writer := &deadlineWriter{w: w, controller: http.NewResponseController(w), timeout: s.WriteTimeout}
	_, err := io.CopyBuffer(io.MultiWriter(recorder, writer), struct{ io.Reader }{admitted.resp.Body}, make([]byte, copyBufferBytes))
	if err != nil {
		// Abort the connection: the missing bytes or the missing last chunk tell the caller that the body is truncated.
		panic(http.ErrAbortHandler)
	}
	writer.clearDeadline()
	if recorder.complete() {
		admitted.run.Finish(&serve.StoredResponse{
			Status: admitted.resp.Status, ContentType: admitted.resp.Header.Get("Content-Type"), Body: recorder.body,
		})
	}
	return nil
}

// bodyRecorder is an io.Writer that keeps a copy of a body of at most maxBytes; it discards the rest.
type bodyRecorder struct {
	enabled    bool
	maxBytes   int
	body       []byte
	overflowed bool
}

// Write implements io.Writer.
func (r *bodyRecorder) Write(p []byte) (int, error) {
	if r.enabled && !r.overflowed {
		r.overflowed = len(r.body)+len(p) > r.maxBytes
		if !r.overflowed {
			r.body = append(r.body, p...)
		}
	}
	return len(p), nil
}

// complete reports whether body is the complete body.
func (r *bodyRecorder) complete() bool { return r.enabled && !r.overflowed }

// deadlineWriter writes a response body. Each write must finish within timeout, so that a caller that reads too slowly
// does not block the request for an unlimited time.
type deadlineWriter struct {
	w          io.Writer
	controller *http.ResponseController
	timeout    time.Duration
}

// Write implements io.Writer.
func (d *deadlineWriter) Write(p []byte) (int, error) {
	if err := d.controller.SetWriteDeadline(time.Now().Add(d.timeout)); err != nil {
		return 0, err
	}
	return d.w.Write(p)
}

// clearDeadline removes the write deadline, so that it does not apply to the next request on the connection.
func (d *deadlineWriter) clearDeadline() { _ = d.controller.SetWriteDeadline(time.Time{}) }
