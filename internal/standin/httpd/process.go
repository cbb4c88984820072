package httpd

import "context"

// Process is a stand-in that can run as a separate process and serves HTTP.
type Process interface {
	// Start listens and serves until Close.
	Start(ctx context.Context) error
	// URL returns the base URL after Start.
	URL() string
	// Close drops all connections and waits for the goroutines that Start started.
	Close() error
}
