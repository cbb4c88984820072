package engine

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"math"
	"net/http"
	"strconv"
	"strings"

	"github.com/gooseberryway/gooseberryway/internal/standin/httpd"
	"github.com/gooseberryway/gooseberryway/internal/state/extern"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
	wireng "github.com/gooseberryway/gooseberryway/internal/transport/engine"
)

// Handler serves the engine's protocol (completions, events, orders) and, for tests, /standin/stats, /standin/runs and
// /standin/control.
func (e *Engine) Handler() http.Handler {
	e.init()
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/completions", e.serveCompletion)
	mux.HandleFunc("GET /v1/events", e.serveEvents)
	mux.HandleFunc("POST /v1/orders", e.serveOrder)
	mux.HandleFunc("GET /standin/stats", func(w http.ResponseWriter, _ *http.Request) {
		httpd.WriteJSON(w, http.StatusOK, e.Stats())
	})
	mux.HandleFunc("GET /standin/runs", func(w http.ResponseWriter, _ *http.Request) {
		httpd.WriteJSON(w, http.StatusOK, e.Runs())
	})
	mux.HandleFunc("POST /standin/control", e.serveControl)
	return mux
}

func (e *Engine) serveCompletion(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		writeError(w, badRequest(err))
		return
	}
	e.countCallerKeys(r, body)
	var wire wireng.Request
	if err = json.Unmarshal(body, &wire); err != nil {
		writeError(w, badRequest(err))
		return
	}
	completion, err := e.Submit(r.Context(), decodeRequest(&wire, r))
	if err != nil {
		writeError(w, err)
		return
	}
	defer completion.Close()
	w.Header().Set("Content-Type", "text/event-stream")
	if err := e.serveStream(w, r, completion); err != nil {
		var truncated *TruncatedError
		if !errors.As(err, &truncated) {
			httpd.Abort()
		}
	}
}

// serveStream writes the events of an answer until its end and returns nil after the last event. After a
// *TruncatedError serveCompletion ends the response normally, only without the last event; after other errors it drops
// the connection.
func (e *Engine) serveStream(w http.ResponseWriter, r *http.Request, c *Completion) error {
	flusher := http.NewResponseController(w)
	var buf []byte
	for {
		event, err := c.Next(r.Context())
		if err != nil {
			return err
		}
		chunk, last := wireChunk(event, c.servedRequest.Request)
		data, err := json.Marshal(chunk)
		if err != nil {
			return err
		}
		buf = append(append(append(buf[:0], "data: "...), data...), "\n\n"...)
		if last {
			buf = append(buf, "data: [DONE]\n\n"...)
		}
		if _, err := w.Write(buf); err != nil {
			return err
		}
		if err := flusher.Flush(); err != nil || last {
			return err
		}
	}
}

// wireChunk converts an event to a chunk of the stream and reports whether it is the last one.
func wireChunk(event extern.EngineEvent, id ident.RequestID) (chunk wireng.Chunk, last bool) {
	switch event := event.(type) {
	case *extern.EngineDone:
		return wireng.Chunk{
			ID:         id,
			Choices:    []wireng.Choice{{FinishReason: event.FinishReason}},
			TokenIndex: event.OutputTokens,
			Usage: &wireng.Usage{
				PromptTokens:     event.PromptTokens,
				CompletionTokens: event.OutputTokens,
				CachedTokens:     event.CachedTokens,
			},
		}, true
	case *extern.EngineChunk:
		return wireng.Chunk{
			ID:         id,
			Choices:    []wireng.Choice{{Text: event.Text}},
			TokenIndex: event.Index,
			TokenCount: event.Count,
		}, false
	default:
		return wireng.Chunk{}, true
	}
}

func decodeRequest(wire *wireng.Request, r *http.Request) extern.EngineRequest {
	return extern.EngineRequest{
		Request:      wire.RequestID,
		Route:        ident.RouteID(r.Header.Get("X-Route-Id")),
		Organisation: ident.OrganisationID(wire.CacheSalt),
		Model:        ident.ModelID(wire.Model),
		Version:      wire.Version,
		Adapter:      wire.Adapter,
		Prompt:       []byte(wire.Prompt),
		MaxTokens:    wire.MaxTokens,
		Seed:         wire.Seed,
		ResumeFrom:   wire.ResumeFrom,
		Priority:     wire.Priority,
		ImportBlocks: wire.ImportBlocks,
	}
}

func (e *Engine) serveEvents(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	down := e.isDown()
	e.mu.Unlock()
	if down {
		httpd.Abort()
	}
	e.feed.ServeHTTP(w, r)
}

func (e *Engine) serveOrder(w http.ResponseWriter, r *http.Request) {
	var wire wireng.Order
	if err := json.NewDecoder(io.LimitReader(r.Body, maxBodyBytes)).Decode(&wire); err != nil {
		writeError(w, badRequest(err))
		return
	}
	e.countCallerKeys(r, nil)
	credential := strings.TrimPrefix(r.Header.Get("Authorization"), "Bearer ")
	err := e.Order(r.Context(), extern.EngineOrder{
		Kind:         extern.OrderKind(wire.Kind),
		Model:        wire.Model,
		Version:      wire.Version,
		Adapter:      wire.Adapter,
		Role:         wire.Role,
		FencingToken: wire.FencingToken,
	}, credential)
	if err != nil {
		writeError(w, err)
		return
	}
	httpd.WriteJSON(w, http.StatusOK, struct{}{})
}

func badRequest(err error) error {
	return &RefusalError{Status: http.StatusBadRequest, Code: wireng.CodeRejected, NotRun: true, Message: err.Error()}
}

// writeError writes a *RefusalError with its status and drops the connection for any other error.
func writeError(w http.ResponseWriter, err error) {
	var refusal *RefusalError
	if !errors.As(err, &refusal) {
		httpd.Abort()
	}
	detail := wireng.ErrorDetail{Message: refusal.Message, Type: "engineError", Code: refusal.Code}
	if refusal.NotRun {
		detail.RunStatus = wireng.RunStatusNotRun
	}
	if refusal.RetryAfter > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(int(math.Ceil(refusal.RetryAfter.Seconds()))))
	}
	httpd.WriteJSON(w, refusal.Status, wireng.ErrorBody{Error: detail})
}

// countCallerKeys counts the request if its URL, headers or body contain one of the callers' keys, which must not leave
// the router.
func (e *Engine) countCallerKeys(r *http.Request, body []byte) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, key := range e.callerKeys {
		if httpd.ContainsSecret(r, key) || bytes.Contains(body, []byte(key)) {
			e.stats.CallerKeysSeen++
			return
		}
	}
}
