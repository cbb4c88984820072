package peer

import (
	"crypto/tls"
	"net/http"
	"time"

	"github.com/gooseberryway/gooseberryway/internal/transport/rest"
)

// headerTimeout bounds the reading of a request's header.
const headerTimeout = 5 * time.Second

// NewServer returns the server of a handler for other daemons; cfg is nil on loopback.
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
		},
	}
}
