package peer

import (
	"crypto/tls"
	"net/http"
	"time"

	"github.com/gooseberryway/gooseberryway/internal/transport/rest"
)

// headerTimeout bounds the time to read a request header.
const headerTimeout = 5 * time.Second

// maxHeaderBytes bounds the size of a request's header.
const maxHeaderBytes = 64 << 10

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
		},
	}
}
