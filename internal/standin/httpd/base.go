package httpd

import (
	"context"
	"net/http"
	"sync"
)

// Base is the part that the small stand-ins have in common: a server on an address and an outage switch.
type Base struct {
	// Address is where Start listens; empty is a free loopback port.
	Address string

	mu     sync.Mutex
	server *Server
	outage bool
}

// Listen serves the handler until Close.
func (f *Base) Listen(ctx context.Context, h http.Handler) error {
	address := f.Address
	if address == "" {
		address = "127.0.0.1:0"
	}
	server := &Server{Address: address, Handler: h}
	if err := server.Start(ctx); err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.server = server
	return nil
}

// URL returns the base URL after Start.
func (f *Base) URL() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.server.URL()
}

// SetOutage makes all calls fail, or work again.
func (f *Base) SetOutage(outage bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.outage = outage
}

// Outage reports whether calls fail.
func (f *Base) Outage() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.outage
}

// RejectInOutage answers 503 during an outage and reports whether it did.
func (f *Base) RejectInOutage(w http.ResponseWriter) bool {
	if !f.Outage() {
		return false
	}
	w.WriteHeader(http.StatusServiceUnavailable)
	return true
}

// Close drops all connections and waits for the serving goroutine.
func (f *Base) Close() error {
	f.mu.Lock()
	server := f.server
	f.mu.Unlock()
	if server == nil {
		return nil
	}
	return server.Close()
}
