package peer

import (
	"crypto/tls"
	"net/http"
	"time"

	"github.com/gooseberryway/gooseberryway/internal/transport/rest"
)

// headerTimeout bounds the time to read a request header.
const headerTimeout = 5 * time.Second

const (
	// maxHeaderBytes bounds the size of a request's header.
	maxHeaderBytes = 64 << 10
	// maxStreams bounds the calls of a peer on one connection; it opens another one for more.
	maxStreams = 16
)

// NewServer returns an HTTP/2 server for calls of other daemons. If cfg is nil, as on loopback, it does not use TLS.
func NewServer(handler http.Handler, cfg *tls.Config) *rest.Server {
	protocols := new(http.Protocols)
	protocols.SetHTTP2(cfg != nil)
	protocols.SetUnencryptedHTTP2(cfg == nil)
	return &rest.Server{
		TLS: cfg,
		HTTP: &http.Server{
			Handler:           handler,
			Protocols:         protocols,
			ReadHeaderTimeout: headerTimeout,
			IdleTimeout:       idleTimeout,
			MaxHeaderBytes:    maxHeaderBytes,
			HTTP2:             &http.HTTP2Config{MaxConcurrentStreams: maxStreams},
		},
	}
}
