// Package caller implements the HTTP interface for callers: OpenAI-compatible completions, the list of models, the list of
// daemons that a caller should use (locate), and a reverse proxy to plain services under the path prefixes of their routes.
// It decodes requests within limits of size and time, passes them to package serve for admission and converts errors to
// HTTP statuses and OpenAI error objects.
package caller

import (
	"context"
	"crypto/rand"
	"crypto/tls"
	"encoding/hex"
	"net/http"
	"strings"
	"time"

	"github.com/gooseberryway/gooseberryway/internal/coordination/serve"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
	"github.com/gooseberryway/gooseberryway/internal/transport/rest"
)

// Server serves the HTTP interface for callers. Its fields are set before Handler is called.
type Server struct {
	Daemon  ident.DaemonID
	Service *serve.Service
	// Locate returns the daemons that a caller should use. The error is a *serve.Error.
	Locate func(serve.Credentials) (Location, error)
	// Plain forwards requests to plain services.
	Plain PlainProxy

	MaxBodyBytes  int64
	HeaderTimeout time.Duration
	BodyTimeout   time.Duration
	IdleTimeout   time.Duration
	// WriteTimeout limits each write to the caller; a streamed response may take longer as a whole.
	WriteTimeout time.Duration
	// MaxOpenRequests limits the requests that are open at the same time.
	MaxOpenRequests int64
}

// Location is the response of locate.
type Location struct {
	Addresses []Address `json:"addresses"`
	// TTLMs is how long the caller may cache the response, in milliseconds.
	TTLMs int64 `json:"ttlMs"`
}

// Address is the address of one daemon; Location lists the preferred daemons first.
type Address struct {
	Address       string              `json:"address"`
	FailureDomain ident.FailureDomain `json:"failureDomain"`
}

// Handler returns the handler of all caller endpoints. It assigns each request an id and returns it in X-Request-Id.
func (s *Server) Handler() http.Handler {
	chat := requireMethod(http.MethodPost, s.chatHandler())
	text := requireMethod(http.MethodPost, s.textHandler())
	models := requireMethod(http.MethodGet, s.modelsHandler())
	locate := requireMethod(http.MethodGet, s.locateHandler())
	plain := s.plainHandler()
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		ctx := withRequestID(r.Context(), s.newRequestID())
		if r.ProtoMajor >= 2 {
			ctx = context.WithValue(ctx, multiplexedContextKey{}, true)
		}
		r = r.WithContext(ctx)
		w.Header().Set(headerRequestID, string(requestIDFromContext(r.Context())))
		switch path := r.URL.Path; {
		case path == pathModels:
			models.ServeHTTP(w, r)
		case path == pathLocate:
			locate.ServeHTTP(w, r)
		case strings.HasSuffix(path, pathChatCompletions):
			chat.ServeHTTP(w, r)
		case strings.HasSuffix(path, pathCompletions):
			text.ServeHTTP(w, r)
		default:
			plain.ServeHTTP(w, r)
		}
	})
}

// HTTPServer returns the HTTP server for callers; cfg is nil for plain text.
func (s *Server) HTTPServer(cfg *tls.Config) *rest.Server {
	return &rest.Server{
		TLS: cfg,
		HTTP: &http.Server{
			Handler:           s.Handler(),
			ReadHeaderTimeout: s.HeaderTimeout,
			IdleTimeout:       s.IdleTimeout,
			MaxHeaderBytes:    maxHeaderBytes,
			HTTP2:             &http.HTTP2Config{MaxConcurrentStreams: maxStreams},
		},
	}
}

func (s *Server) newRequestID() ident.RequestID {
	var random [requestIDRandomBytes]byte
	_, _ = rand.Read(random[:])
	return ident.RequestID(string(s.Daemon) + "-" + hex.EncodeToString(random[:]))
}

// requireMethod rejects requests with any other method.
func requireMethod(method string, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method != method {
			w.Header().Set("Allow", method)
			writeStatus(r.Context(), w, http.StatusMethodNotAllowed,
				&serve.Error{Code: serve.CodeInvalidRequest, Message: "the method is not allowed here, use " + method})
			return
		}
		next.ServeHTTP(w, r)
	})
}

type requestIDContextKey struct{}

// multiplexedContextKey is set for requests on connections that carry several at a time.
type multiplexedContextKey struct{}

func isMultiplexed(ctx context.Context) bool { return ctx.Value(multiplexedContextKey{}) != nil }

func withRequestID(ctx context.Context, id ident.RequestID) context.Context {
	return context.WithValue(ctx, requestIDContextKey{}, id)
}

func requestIDFromContext(ctx context.Context) ident.RequestID {
	id, _ := ctx.Value(requestIDContextKey{}).(ident.RequestID)
	return id
}
