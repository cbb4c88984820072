package httpc

import (
	"context"
	"crypto/tls"
	"net"
	"time"

	"github.com/gooseberryway/gooseberryway/internal/transport/meter"
)

// dialer opens the connections of a Pool. Those with TLS are tracked above it, where the heads of responses can be read.
type dialer struct {
	dial meter.DialFunc
	// timeout limits the dial and, separately, the TLS handshake.
	timeout time.Duration
	tls     *tls.Config
}

func (d *dialer) dialPlain(ctx context.Context, network, address string) (net.Conn, error) {
	c, err := d.open(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &conn{Conn: c}, nil
}

func (d *dialer) dialTLS(ctx context.Context, network, address string) (net.Conn, error) {
	cfg := &tls.Config{MinVersion: tls.VersionTLS12}
	if d.tls != nil {
		cfg = d.tls.Clone()
	}
	if cfg.ServerName == "" {
		host, _, err := net.SplitHostPort(address)
		if err != nil {
			return nil, err
		}
		cfg.ServerName = host
	}
	c, err := d.open(ctx, network, address)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, d.timeout)
	defer cancel()
	secured := tls.Client(c, cfg)
	if err := secured.HandshakeContext(ctx); err != nil {
		_ = c.Close()
		return nil, err
	}
	return &conn{Conn: secured}, nil
}

func (d *dialer) open(ctx context.Context, network, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, d.timeout)
	defer cancel()
	c, err := d.dial(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return newResetConn(c), nil
}
