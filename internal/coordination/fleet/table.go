// Package fleet keeps what a daemon knows of the others: where they are, whether they live and whether callers may be
// sent to them. It decides nothing about them that a wrong guess would make unsafe.
package fleet

import (
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

const (
	// beatPeriod is the time between beats of a small fleet: limits and loads lag by it.
	beatPeriod = 100 * time.Millisecond
	// beatPerDaemon stretches the period of a large fleet, so that a daemon sends a bounded number of beats a second.
	beatPerDaemon = 8 * time.Millisecond
	// aliveFor is how long after its last beat a daemon of a small fleet counts as alive, aliveBeats the same in beats.
	aliveFor   = 700 * time.Millisecond
	aliveBeats = 3.5
	// knownFor is how long a silent daemon is kept: longer than any cut of the network that is expected.
	knownFor = 20 * time.Second
	// addressFor is how long the address of a daemon is kept that isn't heard of.
	addressFor = 5 * time.Minute
	// restPeriod is the least time between beats to and from daemons that carry no traffic: half of the time in which they
	// must know of a change.
	restPeriod = 400 * time.Millisecond
	// maxListed is the number of addresses that callers read of one answer.
	maxListed = 64
)

// HeartbeatPeriod returns the time between beats in a fleet of n daemons.
func HeartbeatPeriod(n int) time.Duration { return max(beatPeriod, time.Duration(n)*beatPerDaemon) }

// IdleHeartbeatPeriod returns the time between beats to and from daemons without traffic in a fleet of n daemons.
func IdleHeartbeatPeriod(n int) time.Duration { return max(restPeriod, time.Duration(n)*beatPerDaemon) }

// ScaledTimeout returns a time that is meant for a small fleet, or so many beats if that is longer.
func ScaledTimeout(small time.Duration, beats float64, n int) time.Duration {
	return max(small, time.Duration(beats*float64(HeartbeatPeriod(n))))
}

// Peer is another daemon as its last beat described it.
type Peer struct {
	ID            ident.DaemonID
	Incarnation   uint64
	CallerAddress string
	PeerAddress   string
	Domain        ident.FailureDomain
	Ready         bool
	Leaving       bool
	// LastHeartbeatAt is when the last beat arrived; zero if none has.
	LastHeartbeatAt time.Time
	// OperatorsOffset and Upstreams are the offsets up to which the peer has read the store.
	OperatorsOffset, UpstreamsOffset ident.Offset
	// LastChangeOffset is the offset that follows the last record of an upstream that the peer knows to have changed anything; it
	// knows of all that did from Since on.
	LastChangeOffset, KnownSinceOffset ident.Offset
	// StoreAge is how long before the last beat the store had answered the peer.
	StoreAge time.Duration
	// Term is the term of the duty that the peer performs; 0 for none.
	Term ident.Offset
	// Capacity is what the peer can pass on, Demand what reaches it at the peak of the last seconds.
	Capacity, Demand RequestsPerSecond
	// Serving says that requests reach the peer.
	Serving bool
	// HeartbeatPeriod is the time between the peer's beats.
	HeartbeatPeriod time.Duration
	// ReportedByPeer says that another daemon vouches for the peer, which has sent no beat itself of late.
	ReportedByPeer bool

	sequence uint64
	addedAt  time.Time
}

// Table holds the peers. Its fields are set before the first call.
type Table struct {
	Self ident.DaemonID

	mu    sync.Mutex
	peers map[ident.DaemonID]*Peer
}

// ApplyHeartbeat takes a beat; it reports false for a beat that is older than one before.
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

// AddAddress takes the address of a daemon that others or the store tell of.
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

// ApplyPeerReport takes an active daemon that another one hears.
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

// Expire drops peers that have been silent for long and returns them. Their addresses are kept for longer.
func (t *Table) Expire() []ident.DaemonID {
	t.mu.Lock()
	defer t.mu.Unlock()
	var gone []ident.DaemonID
	now := time.Now()
	for id, p := range t.peers {
		silentFor := now.Sub(p.addedAt)
		switch {
		case p.LastHeartbeatAt.IsZero() && silentFor > addressFor, p.Leaving && silentFor > p.aliveFor():
			delete(t.peers, id)
			gone = append(gone, id)
		case !p.LastHeartbeatAt.IsZero() && silentFor > knownFor:
			t.put(&Peer{ID: id, Incarnation: p.Incarnation, PeerAddress: p.PeerAddress, sequence: p.sequence, addedAt: now})
			gone = append(gone, id)
		}
	}
	return gone
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

// Alive reports whether the peer was heard of lately.
func (p *Peer) Alive(now time.Time) bool {
	return !p.LastHeartbeatAt.IsZero() && now.Sub(p.LastHeartbeatAt) < p.aliveFor()
}

// SkippableOffset returns the offset up to which a daemon that has read the list of upstreams up to next lacks nothing that
// the peer has; 0 if it lacks something.
func (p *Peer) SkippableOffset(next ident.Offset) ident.Offset {
	if p.LastChangeOffset > next || p.KnownSinceOffset > next {
		return 0
	}
	return p.UpstreamsOffset
}

func (p *Peer) aliveFor() time.Duration {
	return max(aliveFor, time.Duration(aliveBeats*float64(p.HeartbeatPeriod)))
}

// Leader returns the alive peer that performs the duty with the highest term.
func (t *Table) Leader() (Peer, bool) {
	now := time.Now()
	var holder Peer
	for _, p := range t.All() {
		if p.Term > holder.Term && p.Alive(now) {
			holder = p
		}
	}
	return holder, holder.Term > 0
}

// AliveCount returns the number of daemons that take part, this one included.
func (t *Table) AliveCount() int {
	n, now := 1, time.Now()
	for _, p := range t.All() {
		if p.Alive(now) {
			n++
		}
	}
	return n
}

// RecentCount returns the number of daemons that were heard of lately, this one included.
func (t *Table) RecentCount() int {
	n := 1
	for _, p := range t.All() {
		if !p.LastHeartbeatAt.IsZero() {
			n++
		}
	}
	return n
}

// CallerAddresses returns where callers shall connect: the active daemons. A daemon that hears of no other may be cut off
// itself, and then names all that it knows.
func (t *Table) CallerAddresses(own Peer) []string {
	var out []string
	for _, p := range t.Active(own) {
		if p.CallerAddress != "" {
			out = append(out, p.CallerAddress)
		}
	}
	if len(out) > 1 {
		return out[:min(len(out), maxListed)]
	}
	for _, p := range t.All() {
		if p.CallerAddress != "" && !p.Leaving && p.Ready {
			out = append(out, p.CallerAddress)
		}
	}
	slices.Sort(out)
	out = slices.Compact(out)
	return out[:min(len(out), maxListed)]
}
