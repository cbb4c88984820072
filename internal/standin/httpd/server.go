// Package httpd runs the HTTP servers of the stand-ins.
package httpd

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"

	"k8s.io/klog/v2"
)

// Server serves a handler on a TCP address. It can stop listening for a while, so that connections are refused,
// and listens on the same port again afterwards.
type Server struct {
	// Address is where to listen; port 0 picks a free port.
	Address string
	Handler http.Handler

	mu       sync.Mutex
	address  string
	listener net.Listener
	server   *http.Server
	served   sync.WaitGroup
}

// Start listens and serves until Close. The error is a *net.OpError, wrapped.
func (s *Server) Start(ctx context.Context) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.server != nil {
		return nil
	}
	address := s.address
	if address == "" {
		address = s.Address
	}
	var lc net.ListenConfig
	l, err := lc.Listen(ctx, "tcp", address)
	if err != nil {
		return fmt.Errorf("listen on %s: %w", address, err)
	}
	s.address = l.Addr().String()
	server := &http.Server{Handler: s.Handler, ReadHeaderTimeout: readHeaderTimeout}
	s.server, s.listener = server, l
	s.served.Go(func() {
		if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
			klog.ErrorS(err, "Stand-in stopped serving", "address", l.Addr())
		}
	})
	return nil
}

// URL returns the base URL of the running server.
func (s *Server) URL() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return "http://" + s.address
}

// Suspend closes the listener and all connections. Start listens on the same address again.
func (s *Server) Suspend() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.server == nil {
		return
	}
	// The server closes only the listeners that it has begun to serve.
	_ = s.listener.Close()
	_ = s.server.Close()
	s.server = nil
}

// Close closes the listener and all connections and waits for the serving goroutine.
func (s *Server) Close() error {
	s.Suspend()
	s.served.Wait()
	return nil
}
