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

// chatHandler returns the handler of chat completions.
func (s *Server) chatHandler() http.Handler {
	return rest.Handler(s.completionDecoder(openai.KindChat, openai.DecodeChat), s.startCompletion, s.writeCompletion, writeError)
}

// textHandler returns the handler of text completions.
func (s *Server) textHandler() http.Handler {
	return rest.Handler(s.completionDecoder(openai.KindText, openai.DecodeCompletion), s.startCompletion, s.writeCompletion, writeError)
}

// admittedCompletion is a completion that the service admitted, with the context that carries its deadline.
type admittedCompletion struct {
	*completionRequest
	completion *serve.Completion
	ctx        context.Context
	cancel     context.CancelFunc
	startedAt  time.Time
}

// startCompletion submits a completion for admission, with the caller's timeout as deadline. It rejects the completion
// when MaxOpenRequests are open. The error is a *serve.Error.
func (s *Server) startCompletion(ctx context.Context, c *completionRequest) (*admittedCompletion, error) {
	if s.Service.OpenRequests() >= s.MaxOpenRequests {
		return nil, &serve.Error{Code: serve.CodeOverloaded, Message: "this daemon has too many open requests", RetryAfter: overloadedRetryAfter}
	}
	startedAt := time.Now()
	cancel := context.CancelFunc(func() {})
	if c.timeout > 0 {
		ctx, cancel = context.WithTimeout(ctx, c.timeout)
	}
	completion, err := s.Service.Start(ctx, c.serviceRequest)
	if err != nil {
		cancel()
		return nil, err
	}
	return &admittedCompletion{completionRequest: c, completion: completion, ctx: ctx, cancel: cancel, startedAt: startedAt}, nil
}

// writeCompletion runs an admitted completion and writes the response, either as an event stream or as one JSON object.
func (s *Server) writeCompletion(ctx context.Context, w http.ResponseWriter, admitted *admittedCompletion) error {
	defer admitted.cancel()
	defer admitted.completion.Close()
	defer logRequestEnd(ctx, admitted)
	w.Header().Set(headerServedVersion, string(admitted.completion.Version()))
	if admitted.request.Stream {
		s.streamResponse(ctx, w, admitted)
		return nil
	}
	return s.writeFullResponse(ctx, w, admitted)
}

// logRequestEnd logs the end of a completion. It checks the verbosity first, because converting the arguments to
// interfaces allocates.
func logRequestEnd(ctx context.Context, admitted *admittedCompletion) {
	if v := klog.V(1); v.Enabled() {
		v.InfoS("Request ended", "requestId", requestIDFromContext(ctx), "organisation", admitted.completion.Organisation(),
			"route", admitted.completion.Route(), "version", admitted.completion.Version(), "duration", time.Since(admitted.startedAt))
	}
}

// writeFullResponse collects the generated text and writes it as one JSON object.
func (s *Server) writeFullResponse(ctx context.Context, w http.ResponseWriter, admitted *admittedCompletion) error {
	var text strings.Builder
	result, err := admitted.completion.Stream(admitted.ctx, func(piece string) error {
		text.WriteString(piece)
		return nil
	})
	if err != nil {
		return err
	}
	usage := openai.NewUsage(result.PromptTokens, result.CachedTokens, result.OutputTokens)
	response := openai.NewResponse(admitted.kind, requestIDFromContext(ctx), admitted.request.Model, text.String(), result.FinishReason, usage)
	return s.writeJSON(w, response)
}

// streamResponse writes the generated text as server-sent events. An error before the first event becomes an error
// response; a later one becomes the last event, because the status has been sent.
func (s *Server) streamResponse(ctx context.Context, w http.ResponseWriter, admitted *admittedCompletion) {
	events := &eventWriter{w: w, controller: http.NewResponseController(w), timeout: s.WriteTimeout}
	defer events.clearDeadline()
	chunks := openai.NewChunkWriter(admitted.kind, requestIDFromContext(ctx), admitted.request.Model)
	result, err := admitted.completion.Stream(admitted.ctx, func(text string) error { return events.writeEvent(chunks.Delta(text)) })
	if err == nil {
		_ = events.writeEvent(chunks.Finish(result.FinishReason, streamUsage(admitted.request, result)))
		return
	}
	serveErr := asServeError(err)
	if !events.headersSent {
		writeError(ctx, w, serveErr)
		return
	}
	recordRefusal(ctx, serveErr)
	_ = events.writeEvent(chunks.Fail(errorBody(ctx, serveErr)))
}

// streamUsage returns the token usage for the last event, nil unless the caller asked for it.
func streamUsage(req *openai.Request, result *serve.Result) *openai.Usage {
	if !req.IncludeUsage {
		return nil
	}
	return openai.NewUsage(result.PromptTokens, result.CachedTokens, result.OutputTokens)
}

// eventWriter writes server-sent events and flushes each one immediately. Each write must finish within timeout, so that
// a caller that reads too slowly loses its own stream instead of blocking the request for an unlimited time.
type eventWriter struct {
	w           http.ResponseWriter
	controller  *http.ResponseController
	timeout     time.Duration
	headersSent bool
}

// writeEvent writes and flushes one event; the first one also sends the response headers.
func (e *eventWriter) writeEvent(event []byte) error {
	if !e.headersSent {
		e.headersSent = true
		e.w.Header().Set("Content-Type", "text/event-stream")
		e.w.Header().Set("Cache-Control", "no-store")
		e.w.WriteHeader(http.StatusOK)
	}
	if err := e.controller.SetWriteDeadline(time.Now().Add(e.timeout)); err != nil {
		return err
	}
	if _, err := e.w.Write(event); err != nil {
		return err
	}
	return e.controller.Flush()
}

// clearDeadline removes the write deadline, so that it does not apply to the next request on the connection.
func (e *eventWriter) clearDeadline() { _ = e.controller.SetWriteDeadline(time.Time{}) }

func (s *Server) modelsHandler() http.Handler {
	return rest.Handler(decodeCredentialsOnly,
		func(_ context.Context, cred serve.Credentials) ([]ident.ModelID, error) {
			return s.Service.Models(cred)
		},
		func(_ context.Context, w http.ResponseWriter, models []ident.ModelID) error {
			slices.Sort(models)
			return s.writeJSON(w, openai.NewModelList(models))
		}, writeError)
}

func (s *Server) locateHandler() http.Handler {
	return rest.Handler(decodeCredentialsOnly,
		func(_ context.Context, cred serve.Credentials) (Location, error) { return s.Locate(cred) },
		func(_ context.Context, w http.ResponseWriter, l Location) error { return s.writeJSON(w, l) },
		writeError)
}

// decodeCredentialsOnly is the decoder of requests without a body.
func decodeCredentialsOnly(_ context.Context, r *http.Request) (serve.Credentials, error) {
	params, err := decodeCommon(r)
	return params.credentials, err
}

func (s *Server) writeJSON(w http.ResponseWriter, v any) error {
	rest.WriteJSON(w, http.StatusOK, v, s.WriteTimeout)
	return nil
}
