package rest

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/http"

	"k8s.io/klog/v2"
)

// Server runs an HTTP server on a listener until it is closed. Its fields are set before Serve.
type Server struct {
	HTTP *http.Server
	// TLS is nil for plain text.
	TLS *tls.Config
}

// Serve answers requests until Close or Cut. It returns nil after those.
func (l *Server) Serve(socket net.Listener) error {
	l.HTTP.ErrorLog = klog.NewStandardLogger("INFO")
	var err error
	if l.TLS != nil {
		l.HTTP.TLSConfig = l.TLS
		err = l.HTTP.ServeTLS(socket, "", "")
	} else {
		err = l.HTTP.Serve(socket)
	}
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// Close stops listening, lets running requests finish until ctx ends and cuts the rest.
func (l *Server) Close(ctx context.Context) error {
	if err := l.HTTP.Shutdown(ctx); err != nil {
		l.Abort()
		return err
	}
	return nil
}

// Abort ends the server at once and breaks its connections.
func (l *Server) Abort() { _ = l.HTTP.Close() }
