package caller

import (
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/go-kit/kit/endpoint"
	kithttp "github.com/go-kit/kit/transport/http"

	"github.com/gooseberryway/gooseberryway/internal/coordination/serve"
	"github.com/gooseberryway/gooseberryway/internal/protocol/openai"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

// newServer builds a go-kit server from typed functions.
func newServer[Req, Resp any](
	decode func(context.Context, *http.Request) (Req, error),
	handle func(context.Context, Req) (Resp, error),
	encode func(context.Context, http.ResponseWriter, Resp) error,
) http.Handler {
	var e endpoint.Endpoint = func(ctx context.Context, request any) (any, error) {
		return handle(ctx, request.(Req)) //nolint:errcheck // decode returns Req.
	}
	kit := kithttp.NewServer(e,
		func(ctx context.Context, r *http.Request) (any, error) { return decode(ctx, r) },
		func(ctx context.Context, w http.ResponseWriter, response any) error {
			return encode(ctx, w, response.(Resp)) //nolint:errcheck // handle returns Resp.
		},
		kithttp.ServerErrorEncoder(func(ctx context.Context, err error, w http.ResponseWriter) { writeError(ctx, w, err) }),
	)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { kit.ServeHTTP(w, withController(w, r)) })
}

func (s *Server) chatServer() http.Handler {
	return newServer(s.decoder(openai.Chat, openai.DecodeChat), s.start, s.answer)
}

func (s *Server) textServer() http.Handler {
	return newServer(s.decoder(openai.Text, openai.DecodeCompletion), s.start, s.answer)
}

// started is an admitted completion with the context that bounds it.
type started struct {
	*completion
	run    *serve.Run
	ctx    context.Context
	cancel context.CancelFunc
	began  time.Time
}

func (s *Server) start(ctx context.Context, c *completion) (*started, error) {
	if s.Service.Open() >= s.MaxOpen {
		return nil, &serve.Error{Code: serve.CodeOverloaded, Message: "this daemon has too many open requests", RetryAfter: overloadedRetry}
	}
	began := time.Now()
	cancel := context.CancelFunc(func() {})
	if c.timeout > 0 {
		ctx, cancel = context.WithTimeout(ctx, c.timeout)
	}
	run, err := s.Service.Start(ctx, c.call)
	if err != nil {
		cancel()
		return nil, err
	}
	return &started{completion: c, run: run, ctx: ctx, cancel: cancel, began: began}, nil
}

// answer runs an admitted completion and writes its answer, streamed or whole.
func (s *Server) answer(ctx context.Context, w http.ResponseWriter, st *started) error {
	defer st.cancel()
	defer st.run.Close()
	w.Header().Set(headerVersion, string(st.run.Version()))
	if st.request.Stream {
		s.stream(ctx, w, st)
		return nil
	}
	return s.whole(ctx, w, st)
}

func (s *Server) whole(ctx context.Context, w http.ResponseWriter, st *started) error {
	var text strings.Builder
	result, err := st.run.Stream(st.ctx, func(piece string) error {
		text.WriteString(piece)
		return nil
	})
	if err != nil {
		return err
	}
	usage := openai.NewUsage(result.PromptTokens, result.CachedTokens, result.OutputTokens)
	answer := openai.NewAnswer(st.kind, requestOf(ctx), st.request.Model, text.String(), result.FinishReason, usage)
	return s.writeJSON(w, answer)
}

func (s *Server) stream(ctx context.Context, w http.ResponseWriter, st *started) {
	out := &eventStream{w: w, rc: http.NewResponseController(w), timeout: s.WriteTimeout}
	defer out.end()
	chunks := openai.NewChunkWriter(st.kind, requestOf(ctx), st.request.Model)
	result, err := st.run.Stream(st.ctx, func(text string) error { return out.send(chunks.Delta(text)) })
	if err == nil {
		_ = out.send(chunks.Finish(result.FinishReason, streamUsage(st.request, result)))
		return
	}
	refusal := asRefusal(err)
	if !out.begun {
		writeError(ctx, w, refusal)
		return
	}
	record(ctx, refusal)
	_ = out.send(chunks.Fail(errorBody(ctx, refusal)))
}

func streamUsage(req *openai.Request, result *serve.Result) *openai.Usage {
	if !req.IncludeUsage {
		return nil
	}
	return openai.NewUsage(result.PromptTokens, result.CachedTokens, result.OutputTokens)
}

// eventStream writes server-sent events, each flushed at once and bounded in time.
// A caller that reads slowly holds up its own stream only.
type eventStream struct {
	w       http.ResponseWriter
	rc      *http.ResponseController
	timeout time.Duration
	begun   bool
}

func (e *eventStream) send(event []byte) error {
	if !e.begun {
		e.begun = true
		e.w.Header().Set("Content-Type", "text/event-stream")
		e.w.Header().Set("Cache-Control", "no-store")
		e.w.WriteHeader(http.StatusOK)
	}
	if err := e.rc.SetWriteDeadline(time.Now().Add(e.timeout)); err != nil {
		return err
	}
	if _, err := e.w.Write(event); err != nil {
		return err
	}
	return e.rc.Flush()
}

// end lifts the deadline for the next request of the connection.
func (e *eventStream) end() { _ = e.rc.SetWriteDeadline(time.Time{}) }

func (s *Server) modelsServer() http.Handler {
	return newServer(decodeCredentialsOnly,
		func(_ context.Context, cred serve.Credentials) ([]ident.ModelID, error) {
			return s.Service.Models(cred)
		},
		func(_ context.Context, w http.ResponseWriter, models []ident.ModelID) error {
			slices.Sort(models)
			return s.writeJSON(w, openai.NewModelList(models))
		})
}

func (s *Server) locateServer() http.Handler {
	return newServer(decodeCredentialsOnly,
		func(_ context.Context, cred serve.Credentials) (Location, error) { return s.Locate(cred) },
		func(_ context.Context, w http.ResponseWriter, l Location) error { return s.writeJSON(w, l) })
}

func decodeCredentialsOnly(_ context.Context, r *http.Request) (serve.Credentials, error) {
	common, err := decodeCommon(r)
	return common.credentials, err
}

// writeJSON writes a whole answer. A failure to write means that the caller has gone, which needs no answer.
func (s *Server) writeJSON(w http.ResponseWriter, v any) error {
	rc := http.NewResponseController(w)
	_ = rc.SetWriteDeadline(time.Now().Add(s.WriteTimeout))
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
	_ = rc.SetWriteDeadline(time.Time{})
	return nil
}
