package rest

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/http"

	"k8s.io/klog/v2"
)

// Server serves HTTP on a listener until it is closed. Its fields are set before Serve is called.
type Server struct {
	HTTP *http.Server
	// TLS is the TLS configuration; nil for plain text.
	TLS *tls.Config
}

// Serve serves requests until Close or Abort, after which it returns nil. Any other error of the listener is returned. If the TLS configuration of HTTP is
// set, the listener does the handshakes.
func (s *Server) Serve(listener net.Listener) error {
	s.HTTP.ErrorLog = klog.NewStandardLogger("INFO")
	var err error
	if s.TLS != nil && s.HTTP.TLSConfig == nil {
		s.HTTP.TLSConfig = s.TLS
		err = s.HTTP.ServeTLS(listener, "", "")
	} else {
		err = s.HTTP.Serve(listener)
	}
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// Close stops listening and waits for the running requests. If ctx ends first, it aborts the others and returns the error
// of ctx.
func (s *Server) Close(ctx context.Context) error {
	if err := s.HTTP.Shutdown(ctx); err != nil {
		s.Abort()
		return err
	}
	return nil
}

// Abort stops listening and closes all connections immediately.
func (s *Server) Abort() { _ = s.HTTP.Close() }
