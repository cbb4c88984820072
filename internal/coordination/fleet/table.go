// Package fleet keeps what a daemon knows about the other daemons from heartbeats, peers' reports and the store: their
// addresses, whether they are alive and whether callers may be directed to them. None of its decisions is
// unsafe if what it knows about another daemon is wrong.
package fleet

import (
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/gooseberryway/gooseberryway/internal/state/ident"
	"github.com/gooseberryway/gooseberryway/internal/state/view"
)

const (
	// minHeartbeatPeriod is the time between heartbeats in a small fleet. What a daemon knows of its peers' rate limits
	// and outstanding work lags by it.
	minHeartbeatPeriod = 100 * time.Millisecond
	// heartbeatPeriodPerDaemon lengthens the period in a large fleet, so that a daemon sends a bounded number of
	// heartbeats per second.
	heartbeatPeriodPerDaemon = 8 * time.Millisecond
	// aliveTimeout is how long after its last heartbeat a daemon of a small fleet counts as alive. aliveHeartbeats is
	// the same as a number of heartbeat periods; the longer of the two applies.
	aliveTimeout    = 700 * time.Millisecond
	aliveHeartbeats = 3.5
	// peerRetention is how long a silent daemon is kept. It is longer than any expected network partition.
	peerRetention = 20 * time.Second
	// lostAfter is how long a silent daemon is named to callers by a daemon that hears no other one and reaches the platform
	// store. The users allow 7 s.
	lostAfter = 5 * time.Second
	// addressRetention is how long the address of a daemon without heartbeats is kept.
	addressRetention = 5 * time.Minute
	// minIdleHeartbeatPeriod is the shortest time between heartbeats to and from daemons without traffic. It is half of
	// the time within which they have to learn of a change.
	minIdleHeartbeatPeriod = 400 * time.Millisecond
	// maxCallerAddresses is the number of addresses that callers read from one response.
	maxCallerAddresses = 64
)

// HeartbeatPeriod returns the time between heartbeats in a fleet of n daemons.
func HeartbeatPeriod(n int) time.Duration {
	return max(minHeartbeatPeriod, time.Duration(n)*heartbeatPeriodPerDaemon)
}

// IdleHeartbeatPeriod returns the time between heartbeats to and from daemons without traffic in a fleet of n daemons.
func IdleHeartbeatPeriod(n int) time.Duration {
	return max(minIdleHeartbeatPeriod, time.Duration(n)*heartbeatPeriodPerDaemon)
}

// ScaledTimeout returns a timeout for a fleet of n daemons: the given number of heartbeat periods, but at least the
// minimum, which suits a small fleet.
func ScaledTimeout(minimum time.Duration, heartbeats float64, n int) time.Duration {
	return max(minimum, time.Duration(heartbeats*float64(HeartbeatPeriod(n))))
}

// Peer describes another daemon as of its last heartbeat.
type Peer struct {
	ID            ident.DaemonID
	Incarnation   uint64
	CallerAddress string
	PeerAddress   string
	Domain        ident.FailureDomain
	Ready         bool
	Leaving       bool
	// LastHeartbeatAt is when the last heartbeat arrived; zero if none has.
	LastHeartbeatAt time.Time
	// OperatorsOffset and UpstreamsOffset are the offsets up to which the peer has read the store's topics.
	OperatorsOffset, UpstreamsOffset ident.Offset
	// LastChangeOffset is the offset after the last record of the upstreams' topic that, as far as the peer knows,
	// changed anything. The peer knows all changes from KnownSinceOffset on.
	LastChangeOffset, KnownSinceOffset ident.Offset
	// ConfigVersion is the version of the peer's configuration, WeightVersions the sum of the named versions of all models.
	ConfigVersion, WeightVersions int64
	// StoreAge is the time between the store's last response to the peer and the peer's last heartbeat.
	StoreAge time.Duration
	// Term is the term of the peer as leader; 0 if it isn't the leader.
	Term ident.Offset
	// Capacity is what the peer can forward, Demand the peak rate of its requests over the last seconds.
	Capacity, Demand RequestsPerSecond
	// Serving says that requests reach the peer.
	Serving bool
	// TakesRequests says that the peer runs requests that are passed on to it, UnreachableServices to which services' upstreams it
	// can't connect. Only the peer itself tells so, no other daemon.
	TakesRequests       bool
	UnreachableServices []view.ServiceID
	// ReachedServices are those that another daemon can't reach, and of whose upstreams the peer has heard lately.
	ReachedServices []view.ServiceID
	// HeartbeatPeriod is the time between the peer's heartbeats.
	HeartbeatPeriod time.Duration
	// ReportedByPeer says that another daemon reported the peer as alive, and that no recent heartbeat came from the
	// peer itself.
	ReportedByPeer bool

	sequence uint64
	addedAt  time.Time
}

// Table holds the known peers. Its fields are set before the first call.
type Table struct {
	Self ident.DaemonID

	mu    sync.Mutex
	peers map[ident.DaemonID]*Peer
}

// ApplyHeartbeat applies a peer's heartbeat. It returns false for a heartbeat that is not newer than the last one.
func (t *Table) ApplyHeartbeat(p Peer, sequence uint64) bool {
	if p.ID == t.Self || p.ID == "" {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	old := t.peers[p.ID]
	if old != nil && (old.Incarnation > p.Incarnation || old.Incarnation == p.Incarnation && old.sequence >= sequence) {
		return false
	}
	p.sequence = sequence
	p.LastHeartbeatAt, p.addedAt = time.Now(), time.Now()
	t.put(&p)
	return true
}

// AddAddress adds the address of a daemon that was found in the store or in the message of a peer.
func (t *Table) AddAddress(id ident.DaemonID, incarnation uint64, peerAddress string) {
	if id == t.Self || id == "" || peerAddress == "" {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	old := t.peers[id]
	if old != nil && old.Incarnation >= incarnation {
		return
	}
	t.put(&Peer{ID: id, Incarnation: incarnation, PeerAddress: peerAddress, addedAt: time.Now()})
}

// ApplyPeerReport applies a peer's report that an active daemon is alive. A recent heartbeat of that daemon takes
// precedence.
func (t *Table) ApplyPeerReport(p Peer) {
	if p.ID == t.Self || p.ID == "" {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	old := t.peers[p.ID]
	if old != nil && (old.Incarnation > p.Incarnation || old.Incarnation == p.Incarnation && !old.ReportedByPeer && old.Alive(now)) {
		return
	}
	if old != nil && old.Incarnation == p.Incarnation {
		p.sequence = old.sequence
	}
	p.LastHeartbeatAt, p.addedAt, p.Ready, p.ReportedByPeer = now, now, true, true
	t.put(&p)
}

func (t *Table) put(p *Peer) {
	if t.peers == nil {
		t.peers = map[ident.DaemonID]*Peer{}
	}
	t.peers[p.ID] = p
}

// Expire removes peers that have been silent for longer than their retention, and those that have left, and returns
// their ids. The address of a silent peer is kept for longer.
func (t *Table) Expire() []ident.DaemonID {
	t.mu.Lock()
	defer t.mu.Unlock()
	var removed []ident.DaemonID
	now := time.Now()
	for id, p := range t.peers {
		silence := now.Sub(p.addedAt)
		switch {
		case p.LastHeartbeatAt.IsZero() && silence > addressRetention, p.Leaving && silence > p.aliveTimeout():
			delete(t.peers, id)
			removed = append(removed, id)
		case !p.LastHeartbeatAt.IsZero() && silence > peerRetention:
			t.put(&Peer{ID: id, Incarnation: p.Incarnation, PeerAddress: p.PeerAddress, sequence: p.sequence, addedAt: now})
			removed = append(removed, id)
		}
	}
	return removed
}

// All returns the known peers, ordered by id.
func (t *Table) All() []Peer {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make([]Peer, 0, len(t.peers))
	for _, p := range t.peers {
		out = append(out, *p)
	}
	slices.SortFunc(out, func(a, b Peer) int { return strings.Compare(string(a.ID), string(b.ID)) })
	return out
}

// Alive reports whether a heartbeat or report of the peer arrived within its alive timeout.
func (p *Peer) Alive(now time.Time) bool {
	return !p.LastHeartbeatAt.IsZero() && now.Sub(p.LastHeartbeatAt) < p.aliveTimeout()
}

// IsAlive reports whether the peer is known and alive.
func (t *Table) IsAlive(id ident.DaemonID) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.peers[id]
	return p != nil && p.Alive(time.Now())
}

// SkippableOffset returns the offset to which a daemon can advance that has read the list of upstreams up to next,
// because the peer knows of no change after next; 0 if there may be one.
func (p *Peer) SkippableOffset(next ident.Offset) ident.Offset {
	if p.LastChangeOffset > next || p.KnownSinceOffset > next {
		return 0
	}
	return p.UpstreamsOffset
}

func (p *Peer) aliveTimeout() time.Duration {
	return max(aliveTimeout, time.Duration(aliveHeartbeats*float64(p.HeartbeatPeriod)))
}

// Leader returns the live peer that is the leader with the highest term.
func (t *Table) Leader() (Peer, bool) {
	now := time.Now()
	var leader Peer
	for _, p := range t.All() {
		if p.Term > leader.Term && p.Alive(now) {
			leader = p
		}
	}
	return leader, leader.Term > 0
}

// AliveCount returns the number of live daemons, this one included.
func (t *Table) AliveCount() int {
	n, now := 1, time.Now()
	for _, p := range t.All() {
		if p.Alive(now) {
			n++
		}
	}
	return n
}

// RecentCount returns the number of daemons with a heartbeat or report within peerRetention, this one included.
func (t *Table) RecentCount() int {
	n := 1
	for _, p := range t.All() {
		if !p.LastHeartbeatAt.IsZero() {
			n++
		}
	}
	return n
}

// CallerAddressesAmong returns the addresses of the active daemons that are selected, or of all ready ones if at most one active one is; empty if
// none is.
func (t *Table) CallerAddressesAmong(own Peer, selected func(*Peer) bool) []string {
	now := time.Now()
	ready := slices.DeleteFunc(append(t.All(), own), func(p Peer) bool { return !p.Ready || p.Leaving || p.ID != own.ID && !p.Alive(now) })
	var out []string
	for _, peers := range [][]Peer{t.Active(own), ready} {
		out = out[:0]
		for i := range peers {
			if p := &peers[i]; p.CallerAddress != "" && selected(p) {
				out = append(out, p.CallerAddress)
			}
		}
		if len(out) > 1 {
			break
		}
	}
	return out[:min(len(out), maxCallerAddresses)]
}

// CallerAddresses returns the addresses of the active daemons, to which callers should connect. If there are no others,
// this daemon may be partitioned itself, and the result includes all ready daemons that it has heard within peerRetention, or
// within lostAfter if hasStore says that it still reaches the platform store, so that the silent ones have ended.
func (t *Table) CallerAddresses(own Peer, hasStore bool) []string {
	var out []string
	for _, p := range t.Active(own) {
		if p.CallerAddress != "" {
			out = append(out, p.CallerAddress)
		}
	}
	if len(out) > 1 {
		return out[:min(len(out), maxCallerAddresses)]
	}
	now := time.Now()
	for _, p := range t.All() {
		if hasStore && now.Sub(p.LastHeartbeatAt) > lostAfter {
			continue
		}
		if p.CallerAddress != "" && !p.Leaving && p.Ready {
			out = append(out, p.CallerAddress)
		}
	}
	slices.Sort(out)
	out = slices.Compact(out)
	return out[:min(len(out), maxCallerAddresses)]
}
