package caller

import (
	"bytes"
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

// PlainProxy passes calls on to plain services. Its fields are set before use.
type PlainProxy struct {
	Client *plain.Client
	// Picker chooses among the upstreams of a route.
	Picker func(*config.Route) plain.Picker
}

// plainCall is a decoded call to a plain service.
type plainCall struct {
	request *plain.Request
	call    *serve.PlainRequest
	timeout time.Duration
}

// plainStarted is an admitted call with its answer.
type plainStarted struct {
	run    *serve.PlainRun
	resp   *plain.Response
	kept   *serve.StoredResponse
	cancel context.CancelFunc
}

func (s *Server) plainServer() http.Handler {
	return rest.Handler(s.decodePlain, s.startPlain, s.answerPlain, writeError)
}

func (s *Server) decodePlain(ctx context.Context, r *http.Request) (*plainCall, error) {
	common, body, err := s.read(ctx, r)
	if err != nil {
		return nil, err
	}
	id := requestOf(ctx)
	_, key, _ := strings.Cut(r.Header.Get(headerAuthorization), " ")
	call := &serve.PlainRequest{
		RequestID:      id,
		Credentials:    common.credentials,
		Method:         r.Method,
		Path:           r.URL.Path,
		IdempotencyKey: common.idempotencyKey,
	}
	if common.idempotencyKey != "" {
		call.Digest = plainDigest(r, body)
	}
	request := &plain.Request{
		ID:            id,
		Method:        r.Method,
		Path:          r.URL.EscapedPath(),
		RawQuery:      r.URL.RawQuery,
		Header:        r.Header,
		CallerKey:     strings.TrimSpace(key),
		ContentLength: int64(len(body)),
	}
	if len(body) > 0 {
		request.Body = bytes.NewReader(body)
	}
	return &plainCall{request: request, call: call, timeout: common.timeout}, nil
}

func plainDigest(r *http.Request, body []byte) ident.Digest {
	h := sha256.New()
	_, _ = io.WriteString(h, r.Method+"\x00"+r.URL.RequestURI()+"\x00")
	_, _ = h.Write(body)
	return ident.Digest(h.Sum(nil))
}

func (s *Server) startPlain(ctx context.Context, c *plainCall) (*plainStarted, error) {
	run, err := s.Service.StartPlain(ctx, c.call)
	if err != nil {
		return nil, err
	}
	if run.Stored != nil {
		return &plainStarted{run: run, kept: run.Stored, cancel: func() {}}, nil
	}
	timeout := run.Timeout
	if c.timeout > 0 {
		timeout = min(timeout, c.timeout)
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	c.request.Route, c.request.Organisation, c.request.Idempotent = run.Route.ID, run.Organisation, run.Idempotent
	c.request.Path = servicePath(c.request.Path, run.Route.PathPrefix)
	resp, err := s.Plain.Client.Do(ctx, c.request, s.Plain.Picker(run.Route))
	if err != nil {
		cancel()
		failure := plainFailure(ctx, err)
		if failure.RunStatus == serve.NotRun {
			run.Finish(nil)
		}
		run.Close()
		return nil, failure
	}
	return &plainStarted{run: run, resp: resp, cancel: cancel}, nil
}

// servicePath returns the path at the service: what follows the prefix of the route.
func servicePath(path, prefix string) string {
	rest := strings.TrimPrefix(path, strings.TrimSuffix(prefix, "/"))
	if rest == "" {
		return "/"
	}
	return rest
}

func plainFailure(ctx context.Context, err error) *serve.Error {
	var upstream *extern.UpstreamError
	if !errors.As(err, &upstream) {
		return &serve.Error{Code: serve.CodeNoUpstream, Message: "no upstream of this route takes calls now", RetryAfter: overloadedRetry, Err: err}
	}
	failure := &serve.Error{Code: serve.CodeUpstreamFailed, Message: "the upstream failed", RunStatus: serve.MayHaveRun, Err: err}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		failure.Code, failure.Message = serve.CodeTimeout, "the call took longer than its route or its caller allows"
	}
	if upstream.NotRun {
		failure.RunStatus, failure.RetryAfter = serve.NotRun, max(upstream.RetryAfter, overloadedRetry)
	}
	return failure
}

func (s *Server) answerPlain(_ context.Context, w http.ResponseWriter, st *plainStarted) error {
	defer st.cancel()
	defer st.run.Close()
	if st.kept != nil {
		w.Header().Set("Content-Type", st.kept.ContentType)
		w.WriteHeader(st.kept.Status)
		_, _ = w.Write(st.kept.Body)
		return nil
	}
	defer st.resp.Body.Close()
	if st.resp.NotRun {
		st.run.Finish(nil)
	}
	for name, values := range st.resp.Header {
		w.Header()[name] = values
	}
	w.WriteHeader(st.resp.Status)
	kept := &keeper{limit: keptBodyBytes, on: st.run.Claimed()}
	out := &boundedWriter{w: w, rc: http.NewResponseController(w), timeout: s.WriteTimeout}
	_, err := io.Copy(io.MultiWriter(kept, out), st.resp.Body)
	if err != nil {
		// The length or the chunking tells the caller that the answer is not whole.
		panic(http.ErrAbortHandler)
	}
	out.end()
	if kept.whole() {
		st.run.Finish(&serve.StoredResponse{Status: st.resp.Status, ContentType: st.resp.Header.Get("Content-Type"), Body: kept.body})
	}
	return nil
}

// keeper collects a body up to a limit.
type keeper struct {
	on    bool
	limit int
	body  []byte
	over  bool
}

// Write implements io.Writer.
func (k *keeper) Write(p []byte) (int, error) {
	if k.on && !k.over {
		k.over = len(k.body)+len(p) > k.limit
		if !k.over {
			k.body = append(k.body, p...)
		}
	}
	return len(p), nil
}

func (k *keeper) whole() bool { return k.on && !k.over }

// boundedWriter writes to a caller, each write bounded in time.
type boundedWriter struct {
	w       io.Writer
	rc      *http.ResponseController
	timeout time.Duration
}

// Write implements io.Writer.
func (b *boundedWriter) Write(p []byte) (int, error) {
	if err := b.rc.SetWriteDeadline(time.Now().Add(b.timeout)); err != nil {
		return 0, err
	}
	return b.w.Write(p)
}

// end lifts the deadline for the next request of the connection.
func (b *boundedWriter) end() { _ = b.rc.SetWriteDeadline(time.Time{}) }
