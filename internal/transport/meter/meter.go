// Package meter counts the bytes of control: those on the connections between daemons and to the platform, with
// headers, frames and TLS, and those of the messages between daemons by kind.
package meter

import (
	"context"
	"fmt"
	"net"

	"github.com/VictoriaMetrics/metrics"
)

// Link is what the connections of a count go to.
type Link string

// Links.
const (
	LinkPeers Link = "peers"
	LinkLog   Link = "log"
	LinkVMs   Link = "vms"
)

// Links lists all links.
func Links() []Link { return []Link{LinkPeers, LinkLog, LinkVMs} }

// ByteCount is a number of bytes in both directions.
type ByteCount struct {
	Sent, Received uint64
}

// Sub returns the difference to an earlier count.
func (c ByteCount) Sub(earlier ByteCount) ByteCount {
	return ByteCount{Sent: c.Sent - earlier.Sent, Received: c.Received - earlier.Received}
}

// counters hold a count as metrics.
type counters struct {
	sent, received *metrics.Counter
}

func (c counters) count() ByteCount { return ByteCount{Sent: c.sent.Get(), Received: c.received.Get()} }

func newCounters(metric, label, value string) counters {
	return counters{
		sent:     metrics.GetOrCreateCounter(fmt.Sprintf(`%s{%s=%q,direction="sent"}`, metric, label, value)),
		received: metrics.GetOrCreateCounter(fmt.Sprintf(`%s{%s=%q,direction="received"}`, metric, label, value)),
	}
}

var byLink = func() map[Link]counters {
	m := map[Link]counters{}
	for _, l := range Links() {
		m[l] = newCounters("gooseberrywayControlBytes", "link", string(l))
	}
	return m
}()

// Bytes returns what the process has sent and received on the connections of a link.
func (l Link) Bytes() ByteCount { return byLink[l].count() }

// DialFunc opens a connection.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Dial returns a function that counts the bytes of the connections that dial opens.
func (l Link) Dial(dial DialFunc) DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &conn{Conn: c, counters: byLink[l]}, nil
	}
}

// Listener counts the bytes of the connections that it accepts.
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
	return &conn{Conn: c, counters: byLink[l.Link]}, nil
}

// conn is a connection whose bytes are counted.
type conn struct {
	net.Conn
	counters
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
