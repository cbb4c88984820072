package caller

import (
	"context"
	"net/http"
	"slices"
	"strings"
	"time"

	"k8s.io/klog/v2"

	"github.com/gooseberryway/gooseberryway/internal/coordination/serve"
	"github.com/gooseberryway/gooseberryway/internal/protocol/openai"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
	"github.com/gooseberryway/gooseberryway/internal/transport/rest"
)

func (s *Server) chatServer() http.Handler {
	return rest.Handler(s.decoder(openai.KindChat, openai.DecodeChat), s.start, s.answer, writeError)
}

func (s *Server) textServer() http.Handler {
	return rest.Handler(s.decoder(openai.KindText, openai.DecodeCompletion), s.start, s.answer, writeError)
}

// started is an admitted completion with the context that bounds it.
type started struct {
	*completion
	run    *serve.Completion
	ctx    context.Context
	cancel context.CancelFunc
	began  time.Time
}

func (s *Server) start(ctx context.Context, c *completion) (*started, error) {
	if s.Service.OpenRequests() >= s.MaxOpenRequests {
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
	defer logEnd(ctx, st)
	w.Header().Set(headerVersion, string(st.run.Version()))
	if st.request.Stream {
		s.stream(ctx, w, st)
		return nil
	}
	return s.whole(ctx, w, st)
}

// logEnd boxes its values only if the line is written.
func logEnd(ctx context.Context, st *started) {
	if v := klog.V(1); v.Enabled() {
		v.InfoS("Request ended", "requestId", requestOf(ctx), "organisation", st.run.Organisation(),
			"route", st.run.Route(), "version", st.run.Version(), "duration", time.Since(st.began))
	}
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
	answer := openai.NewResponse(st.kind, requestOf(ctx), st.request.Model, text.String(), result.FinishReason, usage)
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
	return rest.Handler(decodeCredentialsOnly,
		func(_ context.Context, cred serve.Credentials) ([]ident.ModelID, error) {
			return s.Service.Models(cred)
		},
		func(_ context.Context, w http.ResponseWriter, models []ident.ModelID) error {
			slices.Sort(models)
			return s.writeJSON(w, openai.NewModelList(models))
		}, writeError)
}

func (s *Server) locateServer() http.Handler {
	return rest.Handler(decodeCredentialsOnly,
		func(_ context.Context, cred serve.Credentials) (Location, error) { return s.Locate(cred) },
		func(_ context.Context, w http.ResponseWriter, l Location) error { return s.writeJSON(w, l) },
		writeError)
}

func decodeCredentialsOnly(_ context.Context, r *http.Request) (serve.Credentials, error) {
	common, err := decodeCommon(r)
	return common.credentials, err
}

func (s *Server) writeJSON(w http.ResponseWriter, v any) error {
	rest.WriteJSON(w, http.StatusOK, v, s.WriteTimeout)
	return nil
}
