package memory

import (
	"sync/atomic"
	"time"
)

// Phase is what a connection waits for.
type Phase int32

// Phases of a connection.
const (
	// Busy means that it waits for nothing of its client: a request is in progress.
	Busy Phase = iota
	// Idle means that it waits for the first byte of a request.
	Idle
	// Receiving means that it waits for the rest of a request.
	Receiving
)

// Conn is the connection of a client.
type Conn interface {
	// Expel closes the connection if it waits for its client, and reports whether it does. It doesn't block.
	Expel() bool
}

// Client is what the account knows of a client's connection. Its exported fields are set before Open.
type Client struct {
	Account *Account
	Conn    Conn

	phase atomic.Int32
	// progressAt is when the client last made progress, in time since the start of the process; unmeasured are the bytes since then.
	progressAt, unmeasured atomic.Int64
	// sendingSince is when the write began that the client has to read for; 0 if there is none.
	sendingSince atomic.Int64

	// held and expelled are guarded by the account's lock.
	held     amounts
	expelled bool
}

// started is the time that progressAt refers to.
var started = time.Now()

// Open takes the memory of a connection and reports whether there is as much.
func (c *Client) Open(n Bytes) bool {
	c.Progress()
	if !c.Account.take(c, Connections, n, n) {
		return false
	}
	c.Account.mu.Lock()
	defer c.Account.mu.Unlock()
	if c.Account.clients == nil {
		c.Account.clients = map[*Client]struct{}{}
	}
	c.Account.clients[c] = struct{}{}
	return true
}

// Close releases the memory of the connection and of its head. Holds stay until they are released.
func (c *Client) Close() {
	a := c.Account
	a.mu.Lock()
	defer a.mu.Unlock()
	a.drop(c)
	for _, u := range []Use{Connections, Heads} {
		a.add(c, u, -c.held[u])
	}
}

// Grow takes n further bytes for the connection, until it is closed, and reports whether there were as many.
func (c *Client) Grow(n Bytes) bool { return c.Account.take(c, Connections, n, n) }

// Leave says that the connection will be closed. It gets no more memory, and what it holds is free soon.
func (c *Client) Leave() {
	c.Account.mu.Lock()
	defer c.Account.mu.Unlock()
	c.Account.drop(c)
}

// SetHead sets the memory of the head that is being read, and reports whether there is as much. Only the reader of the connection calls it.
func (c *Client) SetHead(n Bytes) bool { return c.Account.take(c, Heads, n-c.held[Heads], n) }

// ReleaseHead releases the memory of the head.
func (c *Client) ReleaseHead() {
	c.Account.mu.Lock()
	defer c.Account.mu.Unlock()
	c.Account.add(c, Heads, -c.held[Heads])
}

// SetPhase records what the connection waits for.
func (c *Client) SetPhase(p Phase) { c.phase.Store(int32(p)) }

// Received records that bytes have arrived. A few at a time are no progress, so that a client that sends a byte now and then is taken for one that stops.
func (c *Client) Received(n int) {
	if c.unmeasured.Add(int64(n)) >= progressBytes {
		c.Progress()
	}
}

// Progress records that the client has made progress: a request has begun or ended.
func (c *Client) Progress() {
	c.unmeasured.Store(0)
	c.progressAt.Store(int64(time.Since(started)))
}

// BeginSending records that a part of an answer is written, from now on.
func (c *Client) BeginSending(now time.Time) { c.sendingSince.Store(int64(now.Sub(started))) }

// EndSending records that the client has taken the part.
func (c *Client) EndSending() { c.sendingSince.Store(0) }

// waits reports whether the connection waits for its client and may be closed. One that sends may only when its client has stopped reading.
func (c *Client) waits(now time.Time) bool { return Phase(c.phase.Load()) != Busy || c.stalled(now) }

// stalled reports whether the client has stopped within a request or an answer.
func (c *Client) stalled(now time.Time) bool {
	return (c.sendingSince.Load() != 0 || Phase(c.phase.Load()) == Receiving) && now.Sub(started)-time.Duration(c.waitsSince()) >= stallTime
}

// waitsSince returns the time of the last progress.
func (c *Client) waitsSince() int64 {
	if since := c.sendingSince.Load(); since != 0 {
		return since
	}
	return c.progressAt.Load()
}

// closesBefore reports whether a client is closed before another one: stalled ones first, and of two alike the one that has made no progress for longer.
func (c *Client) closesBefore(other *Client, now time.Time) bool {
	if mine, others := c.stalled(now), other.stalled(now); mine != others {
		return mine
	}
	return c.waitsSince() < other.waitsSince()
}

// Stalled reports whether the client has stopped within a request or an answer.
func (c *Client) Stalled() bool { return c.stalled(time.Now()) }
