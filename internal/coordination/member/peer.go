package member

import (
	"time"

	"github.com/gooseberryway/gooseberryway/internal/protocol/wire"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

// HeartbeatAck is a daemon's acknowledgement of a heartbeat.
type HeartbeatAck struct {
	Daemon      ident.DaemonID
	Incarnation ident.Incarnation
	// Sent is when the heartbeat was sent, by this daemon's clock and with its monotonic reading. For a relayed
	// acknowledgement it is a lower bound.
	Sent time.Time
	// Applied is the offset that the daemon had applied.
	Applied    ident.Offset
	Recovering bool
}

// peer is what this daemon knows of another one.
type peer struct {
	incarnation ident.Incarnation
	// applied is the highest offset that any message of the incarnation has named.
	applied ident.Offset
	// acks holds the last acknowledgements of the incarnation, the newest first.
	acks []HeartbeatAck
	// misses counts the missed heartbeats since the daemon was last seen.
	misses int
	// lastSeen is when a message of the daemon last arrived or, if that is later, when a heartbeat was sent whose
	// acknowledgement was relayed to this daemon.
	lastSeen time.Time
	inFlight bool
	// notTargeted is true while this daemon sends no heartbeats to the peer.
	notTargeted bool
	// directAck is the newest acknowledgement of a heartbeat of this daemon, createdAt when this entry was created.
	directAck HeartbeatAck
	createdAt time.Time
	// missedAt is when a heartbeat of this daemon was last missed, the zero time if none was.
	missedAt         time.Time
	digest           *wire.Digest
	digestReceivedAt time.Time
}

// observe records a direct message of an incarnation and reports whether it is the newest known.
func (p *peer) observe(incarnation ident.Incarnation, applied ident.Offset) bool {
	if !p.observeIncarnation(incarnation, applied) {
		return false
	}
	p.misses = 0
	p.lastSeen = time.Now()
	return true
}

// observeIncarnation discards what is known of an older incarnation and reports whether this is the newest known.
func (p *peer) observeIncarnation(incarnation ident.Incarnation, applied ident.Offset) bool {
	if incarnation < p.incarnation {
		return false
	}
	if incarnation > p.incarnation {
		p.incarnation = incarnation
		p.acks = nil
		p.applied = 0
		p.directAck = HeartbeatAck{}
	}
	p.applied = max(p.applied, applied)
	return true
}

// addRelayedAck records an acknowledgement that another daemon received.
func (p *peer) addRelayedAck(a HeartbeatAck) {
	if !p.observeIncarnation(a.Incarnation, a.Applied) {
		return
	}
	p.addAck(a)
	if a.Sent.After(p.lastSeen) {
		p.lastSeen = a.Sent
	}
}

// addAck records an acknowledgement. Acknowledgements that arrive out of order are put in the order in which their
// heartbeats were sent.
func (p *peer) addAck(a HeartbeatAck) {
	i := 0
	for i < len(p.acks) && p.acks[i].Sent.After(a.Sent) {
		i++
	}
	p.acks = append(p.acks, HeartbeatAck{})
	copy(p.acks[i+1:], p.acks[i:])
	p.acks[i] = a
	if len(p.acks) > maxKeptAcks {
		p.acks = p.acks[:maxKeptAcks]
	}
}

// newestAck returns the acknowledgement of the heartbeat that was sent last.
func (p *peer) newestAck() (HeartbeatAck, bool) {
	if len(p.acks) == 0 {
		return HeartbeatAck{}, false
	}
	return p.acks[0], true
}

// supportingAck returns the newest acknowledgement that names no offset above the given one and comes from a daemon
// that is not recovering.
func (p *peer) supportingAck(applied ident.Offset) (HeartbeatAck, bool) {
	for _, a := range p.acks {
		if !a.Recovering && a.Applied <= applied {
			return a, true
		}
	}
	return HeartbeatAck{}, false
}

func ackOf(resp *wire.HeartbeatResponse, sent time.Time) HeartbeatAck {
	return HeartbeatAck{
		Daemon:      ident.DaemonID(resp.GetDaemonId()),
		Incarnation: ident.Incarnation(resp.GetIncarnation()),
		Sent:        sent,
		Applied:     ident.Offset(resp.GetAppliedOffset()),
		Recovering:  resp.GetRecovering(),
	}
}
