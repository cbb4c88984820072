// Package memory keeps the account of a process' memory: what the process holds for its clients, and its own state. Whoever holds something for a client
// takes it from the account before the client's bytes are read. If there is no room, the client that has made no progress for the longest time is closed,
// or the newcomer is refused.
package memory

import (
	"sync"
	"time"
)

// Bytes is an amount of memory.
type Bytes int64

// Use is what memory is held for.
type Use uint8

// Uses of memory.
const (
	// Connections are those of clients, with their buffers in the process.
	Connections Use = iota
	// Heads of requests, as they are once parsed.
	Heads
	// Bodies of requests.
	Bodies
	// Requests in progress, with the connections to upstreams and what was read of the answers.
	Requests
	uses
)

// String returns the name of a use in metrics and logs.
func (u Use) String() string { return [...]string{"connections", "heads", "bodies", "requests"}[u] }

// Uses returns all uses.
func Uses() []Use { return []Use{Connections, Heads, Bodies, Requests} }

// amounts are amounts by use.
type amounts [uses]Bytes

func (a *amounts) sum() Bytes {
	var sum Bytes
	for _, n := range a {
		sum += n
	}
	return sum
}

// Account is the account of a process. Its exported fields are set before the first use; the zero value is ready for use.
type Account struct {
	// ProcessBytes is the memory of the process. If it is 0, as it isn't known, the uses are bounded one by one by defaults.
	ProcessBytes Bytes
	// OnExpel is called with each client that is closed to make room, without locks held; nil for nothing.
	OnExpel func(*Client)

	mu      sync.Mutex
	clients map[*Client]struct{}
	// held is what all clients hold, leaving the part of it that clients hold that were closed to make room.
	held, leaving amounts
	own           ownState
}

// Held returns what is held for a use.
func (a *Account) Held(u Use) Bytes {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.held[u]
}

// OwnState returns the last estimate of the memory that the process takes for other things than its clients.
func (a *Account) OwnState() Bytes {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.own.bytes
}

// Budget returns how much may be held for a use.
func (a *Account) Budget(u Use) Bytes {
	if a.ProcessBytes <= 0 {
		return defaultBudgets[u]
	}
	return a.ProcessBytes / budgetDivisors[u]
}

// room returns how much may be held for all uses together.
func (a *Account) room() Bytes {
	if a.ProcessBytes <= 0 {
		return defaultBudgets.sum()
	}
	collected := Bytes(CollectorShare * liveShare * float64(a.ProcessBytes))
	return max(collected-a.own.bytes, a.ProcessBytes/minRoomDivisor)
}

// take takes n bytes for a client's piece of the given size, and reports whether there were as many.
func (a *Account) take(c *Client, u Use, n, size Bytes) bool {
	expelled, ok := a.tryTake(c, u, n, size)
	if a.OnExpel != nil {
		for _, other := range expelled {
			a.OnExpel(other)
		}
	}
	return ok
}

func (a *Account) tryTake(c *Client, u Use, n, size Bytes) (expelled []*Client, ok bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := time.Now()
	if c.expelled {
		return nil, false
	}
	if a.ProcessBytes > 0 {
		a.own.sample(now, a.held.sum())
	}
	switch {
	case n <= 0:
		ok = true
	case size > largeBytes:
		expelled, ok = a.makeLargeRoom(c, u, n, now)
	default:
		expelled, ok = a.makeRoom(c, u, n, size, now)
	}
	if ok {
		a.add(c, u, n)
	}
	return expelled, ok
}

// add changes what a client holds.
func (a *Account) add(c *Client, u Use, n Bytes) {
	a.held[u] += n
	c.held[u] += n
	if c.expelled {
		a.leaving[u] += n
	}
}

// makeRoom closes clients until there is room for a piece that isn't large. What they hold is free only some moments later.
func (a *Account) makeRoom(c *Client, u Use, n, size Bytes, now time.Time) (expelled []*Client, ok bool) {
	for {
		leaving := min(a.leaving.sum(), a.room()/leavingDivisor)
		leavingUse := min(a.leaving[u], a.Budget(u)/leavingDivisor)
		if a.held[u]-leavingUse+n <= a.Budget(u) && a.held.sum()-leaving+n <= a.room() {
			return expelled, true
		}
		other := a.expelOne(c, now, func(other *Client) bool { return size < other.held.sum() || other.stalled(now) })
		if other == nil {
			return expelled, false
		}
		expelled = append(expelled, other)
	}
}

// makeLargeRoom reports whether there is room for a large piece, for which a part of the memory is kept free. Otherwise clients are closed that make no
// progress, so that there is room when the newcomer returns.
func (a *Account) makeLargeRoom(c *Client, u Use, n Bytes, now time.Time) (expelled []*Client, ok bool) {
	missing := max(a.held[u]+n-a.Budget(u)*largeShares[u]/quarters, a.held.sum()+n-a.room()*largeShare/quarters)
	// Any body is read when only small ones are held.
	alone := u == Bodies && a.held[u] <= a.Budget(u)/smallBodiesDivisor && a.held.sum()+n <= a.room()
	if missing <= 0 || alone {
		return nil, true
	}
	for missing -= a.leaving.sum(); missing > 0; {
		other := a.expelOne(c, now, func(other *Client) bool { return other.stalled(now) && other.held[u] > 0 })
		if other == nil {
			break
		}
		missing -= other.held.sum()
		expelled = append(expelled, other)
	}
	return expelled, false
}

// ExpelFor closes the client that has made no progress for the longest time, so that a newcomer gets its connection. It reports whether there was one.
func (a *Account) ExpelFor(newcomer *Client) bool {
	a.mu.Lock()
	other := a.expelOne(newcomer, time.Now(), func(*Client) bool { return true })
	a.mu.Unlock()
	if other != nil && a.OnExpel != nil {
		a.OnExpel(other)
	}
	return other != nil
}

// expelOne closes the first client in order of closing that is eligible and still waits when it is told to end; nil if there is none.
func (a *Account) expelOne(newcomer *Client, now time.Time, eligible func(*Client) bool) *Client {
	var busy map[*Client]bool
	for {
		var first *Client
		for other := range a.clients {
			if other != newcomer && other.waits(now) && !busy[other] && eligible(other) && (first == nil || other.closesBefore(first, now)) {
				first = other
			}
		}
		if first == nil {
			return nil
		}
		if first.Conn.Expel() {
			a.drop(first)
			return first
		}
		if busy == nil {
			busy = map[*Client]bool{}
		}
		busy[first] = true
	}
}

// drop forgets a client, whose holds stay until they are released.
func (a *Account) drop(c *Client) {
	if c.expelled {
		return
	}
	delete(a.clients, c)
	c.expelled = true
	for u, n := range c.held {
		a.leaving[u] += n
	}
}
