package httpd

import (
	"context"
	"net/http"
	"sync"
)

// Base is embedded in stand-ins: it runs their HTTP server and keeps whether an outage is injected.
type Base struct {
	// Address is the TCP address on which Listen listens; empty means a free port of 127.0.0.1.
	Address string

	mu     sync.Mutex
	server *Server
	outage bool
}

// Listen listens on Address and serves the handler in the background until Close. The error is that of listening.
func (b *Base) Listen(ctx context.Context, h http.Handler) error {
	address := b.Address
	if address == "" {
		address = "127.0.0.1:0"
	}
	server := &Server{Address: address, Handler: h}
	if err := server.Start(ctx); err != nil {
		return err
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.server = server
	return nil
}

// URL returns the base URL. Call it only after Listen.
func (b *Base) URL() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.server.URL()
}

// SetOutage starts or ends an outage, in which the calls of the stand-in fail.
func (b *Base) SetOutage(outage bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.outage = outage
}

// Outage reports whether an outage is injected.
func (b *Base) Outage() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.outage
}

// RejectInOutage responds with status 503 during an outage and reports whether it did.
func (b *Base) RejectInOutage(w http.ResponseWriter) bool {
	if !b.Outage() {
		return false
	}
	w.WriteHeader(http.StatusServiceUnavailable)
	return true
}

// Close closes the listener and all connections and waits for the serving goroutine.
func (b *Base) Close() error {
	b.mu.Lock()
	server := b.server
	b.mu.Unlock()
	if server == nil {
		return nil
	}
	return server.Close()
}
