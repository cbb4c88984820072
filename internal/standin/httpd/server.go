// Package httpd has what the HTTP servers of the stand-ins share: listening, refusing connections for a time, outages,
// and reading and writing JSON bodies.
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

// Server serves a handler on a TCP address. It can stop listening for a time, so that connections are refused, and then
// listen on the same port again.
type Server struct {
	// Address is the TCP address on which to listen; port 0 picks a free port.
	Address string
	Handler http.Handler

	mu sync.Mutex
	// boundAddress is the address of the first listener, which later ones reuse; empty before Start.
	boundAddress string
	listener     net.Listener
	server       *http.Server
	serving      sync.WaitGroup
}

// Start listens and serves in the background until Suspend or Close. It does nothing if the server runs already. The
// error wraps a *net.OpError.
func (s *Server) Start(ctx context.Context) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.server != nil {
		return nil
	}
	address := s.boundAddress
	if address == "" {
		address = s.Address
	}
	var lc net.ListenConfig
	l, err := lc.Listen(ctx, "tcp", address)
	if err != nil {
		return fmt.Errorf("listen on %s: %w", address, err)
	}
	s.boundAddress = l.Addr().String()
	server := &http.Server{Handler: s.Handler, ReadHeaderTimeout: readHeaderTimeout}
	s.server, s.listener = server, l
	s.serving.Go(func() {
		if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
			klog.ErrorS(err, "Stand-in stopped serving", "address", l.Addr())
		}
	})
	return nil
}

// URL returns the base URL. Call it only after Start.
func (s *Server) URL() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return "http://" + s.boundAddress
}

// Suspend closes the listener and all connections. Start listens on the same address again.
func (s *Server) Suspend() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.server == nil {
		return
	}
	// http.Server.Close closes only listeners that Serve has been called with, which may not have happened yet.
	_ = s.listener.Close()
	_ = s.server.Close()
	s.server = nil
}

// Close closes the listener and all connections and waits for the serving goroutine.
func (s *Server) Close() error {
	s.Suspend()
	s.serving.Wait()
	return nil
}
