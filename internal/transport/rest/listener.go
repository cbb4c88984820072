package rest

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/http"

	"k8s.io/klog/v2"
)

// Listener runs an HTTP server on a listener until it is closed. Its fields are set before Serve.
type Listener struct {
	Server *http.Server
	// TLS is nil for plain text.
	TLS *tls.Config
}

// Serve answers requests until Close or Cut. It returns nil after those.
func (l *Listener) Serve(socket net.Listener) error {
	l.Server.ErrorLog = klog.NewStandardLogger("INFO")
	var err error
	if l.TLS != nil {
		l.Server.TLSConfig = l.TLS
		err = l.Server.ServeTLS(socket, "", "")
	} else {
		err = l.Server.Serve(socket)
	}
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// Close stops listening, lets running requests finish until ctx ends and cuts the rest.
func (l *Listener) Close(ctx context.Context) error {
	if err := l.Server.Shutdown(ctx); err != nil {
		l.Cut()
		return err
	}
	return nil
}

// Cut ends the server at once and breaks its connections.
func (l *Listener) Cut() { _ = l.Server.Close() }
