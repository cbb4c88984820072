// Package caller is the HTTP interface towards callers: OpenAI-compatible completions, the list of models,
// locate, and plain services under routes of their own.
package caller

import (
	"context"
	"crypto/rand"
	"crypto/tls"
	"encoding/hex"
	"errors"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/gooseberryway/gooseberryway/internal/coordination/serve"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

// Server answers callers. Its fields are set before Handler or Serve is called.
type Server struct {
	Daemon  ident.DaemonID
	Service *serve.Service
	// Locate returns the daemons that a caller shall use.
	Locate func(serve.Credentials) (Location, error)
	// Plain passes calls on to plain services.
	Plain Plain

	BodyBytes     int64
	HeaderTimeout time.Duration
	BodyTimeout   time.Duration
	IdleTimeout   time.Duration
	WriteTimeout  time.Duration
	// MaxOpen bounds the requests that are open at once.
	MaxOpen int64
	// TLS is nil for plain text.
	TLS *tls.Config

	http *http.Server
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
	chat := s.chatServer()
	text := s.textServer()
	models := s.modelsServer()
	locate := s.locateServer()
	plain := s.plainServer()
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		r = r.WithContext(withRequest(r.Context(), s.newRequestID()))
		w.Header().Set(headerRequestID, string(requestOf(r.Context())))
		switch path := r.URL.Path; {
		case path == pathModels:
			only(http.MethodGet, models).ServeHTTP(w, r)
		case path == pathLocate:
			only(http.MethodGet, locate).ServeHTTP(w, r)
		case strings.HasSuffix(path, pathChat):
			only(http.MethodPost, chat).ServeHTTP(w, r)
		case strings.HasSuffix(path, pathCompletion):
			only(http.MethodPost, text).ServeHTTP(w, r)
		default:
			plain.ServeHTTP(w, r)
		}
	})
}

// Serve answers callers on the listener until Close. It returns nil after Close.
func (s *Server) Serve(l net.Listener) error {
	s.Prepare()
	if s.TLS != nil {
		l = tls.NewListener(l, s.TLS)
	}
	err := s.http.Serve(l)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// Prepare sets up the HTTP server. It must be called before Close can run beside Serve.
func (s *Server) Prepare() {
	if s.http != nil {
		return
	}
	s.http = &http.Server{
		Handler:           s.Handler(),
		ReadHeaderTimeout: s.HeaderTimeout,
		IdleTimeout:       s.IdleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
}

// Close stops listening, lets running requests finish until ctx ends, and then cuts the rest.
func (s *Server) Close(ctx context.Context) error {
	s.Prepare()
	if err := s.http.Shutdown(ctx); err != nil {
		_ = s.http.Close()
		return err
	}
	return nil
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

// Cut ends the server at once and breaks its connections.
func (s *Server) Cut() {
	s.Prepare()
	_ = s.http.Close()
}
