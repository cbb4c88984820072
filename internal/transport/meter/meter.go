// Package meter counts control traffic: the bytes on connections between daemons and to the platform, headers, frames and
// TLS included, and the messages between daemons with their encoded bytes, by kind.
package meter

import (
	"context"
	"errors"
	"fmt"
	"net"
	"syscall"

	"github.com/VictoriaMetrics/metrics"
)

// Link is the kind of system at the other end of counted connections.
type Link string

// Links whose traffic is counted.
const (
	LinkPeers Link = "peers"
	LinkLog   Link = "log"
	LinkVMs   Link = "vms"
)

// Links returns all links.
func Links() []Link { return []Link{LinkPeers, LinkLog, LinkVMs} }

// ByteCount is a number of bytes in both directions.
type ByteCount struct {
	Sent, Received uint64
}

// Sub returns the bytes since an earlier count.
func (c ByteCount) Sub(earlier ByteCount) ByteCount {
	return ByteCount{Sent: c.Sent - earlier.Sent, Received: c.Received - earlier.Received}
}

// counters are the metrics of bytes in both directions.
type counters struct {
	sent, received *metrics.Counter
}

func (c counters) byteCount() ByteCount {
	return ByteCount{Sent: c.sent.Get(), Received: c.received.Get()}
}

func newCounters(metric, label, value string) counters {
	return counters{
		sent:     metrics.GetOrCreateCounter(fmt.Sprintf(`%s{%s=%q,direction="sent"}`, metric, label, value)),
		received: metrics.GetOrCreateCounter(fmt.Sprintf(`%s{%s=%q,direction="received"}`, metric, label, value)),
	}
}

var countersByLink = func() map[Link]counters {
	m := map[Link]counters{}
	for _, l := range Links() {
		m[l] = newCounters("gooseberrywayControlBytes", "link", string(l))
	}
	return m
}()

// Bytes returns the bytes that the process has sent and received on the connections of the link.
func (l Link) Bytes() ByteCount { return countersByLink[l].byteCount() }

// DialFunc opens a connection, as net.Dialer.DialContext does.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Dial returns a DialFunc that calls dial and counts the bytes of the connections for the link.
func (l Link) Dial(dial DialFunc) DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &conn{Conn: c, counters: countersByLink[l]}, nil
	}
}

// Listener counts the bytes of the accepted connections for its link.
type Listener struct {
	net.Listener
	Link Link
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &conn{Conn: c, counters: countersByLink[l.Link]}, nil
}

// SyscallConn returns the listening socket.
func (l *Listener) SyscallConn() (syscall.RawConn, error) {
	socket, ok := l.Listener.(syscall.Conn)
	if !ok {
		return nil, errors.ErrUnsupported
	}
	return socket.SyscallConn()
}

// conn is a connection whose bytes are counted.
type conn struct {
	net.Conn
	counters
}

// SetReadBuffer sets the size of the receive buffer, if the connection has one.
func (c *conn) SetReadBuffer(bytes int) error {
	if socket, ok := c.Conn.(interface{ SetReadBuffer(bytes int) error }); ok {
		return socket.SetReadBuffer(bytes)
	}
	return errors.ErrUnsupported
}

// Read implements net.Conn.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.received.Add(n)
	return n, err
}

// Write implements net.Conn.
func (c *conn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.sent.Add(n)
	return n, err
}
