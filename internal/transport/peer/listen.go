package peer

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/http"
	"time"
)

// headerTimeout bounds the reading of a request's header.
const headerTimeout = 5 * time.Second

// Server answers other daemons. Its fields are set before Serve.
type Server struct {
	Handler http.Handler
	// TLS is nil on loopback.
	TLS *tls.Config

	http *http.Server
}

// Prepare sets up the HTTP server. It must be called before Close can run beside Serve.
func (s *Server) Prepare() {
	if s.http != nil {
		return
	}
	protocols := new(http.Protocols)
	protocols.SetHTTP2(s.TLS != nil)
	protocols.SetUnencryptedHTTP2(s.TLS == nil)
	s.http = &http.Server{
		Handler:           s.Handler,
		TLSConfig:         s.TLS,
		Protocols:         protocols,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
	}
}

// Serve answers daemons on the listener until Close. It returns nil after Close.
func (s *Server) Serve(l net.Listener) error {
	s.Prepare()
	var err error
	if s.TLS != nil {
		err = s.http.ServeTLS(l, "", "")
	} else {
		err = s.http.Serve(l)
	}
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// Close stops listening, lets running calls finish for up to the timeout and cuts the rest.
func (s *Server) Close(timeout time.Duration) error {
	s.Prepare()
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	if err := s.http.Shutdown(ctx); err != nil {
		_ = s.http.Close()
		return err
	}
	return nil
}

// Cut ends the server at once and breaks its connections.
func (s *Server) Cut() {
	s.Prepare()
	_ = s.http.Close()
}
