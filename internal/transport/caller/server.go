// Package caller is the HTTP interface towards callers: OpenAI-compatible completions, the list of models,
// locate, and plain services under routes of their own.
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

// Server answers callers. Its fields are set before Handler is called.
type Server struct {
	Daemon  ident.DaemonID
	Service *serve.Service
	// Locate returns the daemons that a caller shall use.
	Locate func(serve.Credentials) (Location, error)
	// Plain passes calls on to plain services.
	Plain PlainProxy

	MaxBodyBytes  int64
	HeaderTimeout time.Duration
	BodyTimeout   time.Duration
	IdleTimeout   time.Duration
	WriteTimeout  time.Duration
	// MaxOpenRequests bounds the requests that are open at once.
	MaxOpenRequests int64
}

// Location is the answer of locate.
type Location struct {
	Addresses []Address `json:"addresses"`
	// TTLMs is how long the answer may be kept, in milliseconds.
	TTLMs int64 `json:"ttlMs"`
}

// Address is one daemon to use; earlier ones are better.
type Address struct {
	Address       string              `json:"address"`
	FailureDomain ident.FailureDomain `json:"failureDomain"`
}

// Handler returns the handler of the interface.
func (s *Server) Handler() http.Handler {
	chat := only(http.MethodPost, s.chatServer())
	text := only(http.MethodPost, s.textServer())
	models := only(http.MethodGet, s.modelsServer())
	locate := only(http.MethodGet, s.locateServer())
	plain := s.plainServer()
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		r = r.WithContext(withRequest(r.Context(), s.newRequestID()))
		w.Header().Set(headerRequestID, string(requestOf(r.Context())))
		switch path := r.URL.Path; {
		case path == pathModels:
			models.ServeHTTP(w, r)
		case path == pathLocate:
			locate.ServeHTTP(w, r)
		case strings.HasSuffix(path, pathChat):
			chat.ServeHTTP(w, r)
		case strings.HasSuffix(path, pathCompletion):
			text.ServeHTTP(w, r)
		default:
			plain.ServeHTTP(w, r)
		}
	})
}

// HTTPServer returns the HTTP server of the interface; cfg is nil for plain text.
func (s *Server) HTTPServer(cfg *tls.Config) *rest.Server {
	return &rest.Server{
		TLS: cfg,
		HTTP: &http.Server{
			Handler:           s.Handler(),
			ReadHeaderTimeout: s.HeaderTimeout,
			IdleTimeout:       s.IdleTimeout,
			MaxHeaderBytes:    maxHeaderBytes,
		},
	}
}

func (s *Server) newRequestID() ident.RequestID {
	var random [requestIDBytes]byte
	_, _ = rand.Read(random[:])
	return ident.RequestID(string(s.Daemon) + "-" + hex.EncodeToString(random[:]))
}

// only refuses other methods than the given one.
func only(method string, next http.Handler) http.Handler {
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

type requestKey struct{}

func withRequest(ctx context.Context, id ident.RequestID) context.Context {
	return context.WithValue(ctx, requestKey{}, id)
}

func requestOf(ctx context.Context) ident.RequestID {
	id, _ := ctx.Value(requestKey{}).(ident.RequestID)
	return id
}
