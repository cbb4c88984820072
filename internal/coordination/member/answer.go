package member

import (
	"time"

	"github.com/gooseberryway/gooseberryway/internal/protocol/wire"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

// HeartbeatAck is what a daemon answered to a heartbeat.
type HeartbeatAck struct {
	Daemon      ident.DaemonID
	Incarnation ident.Incarnation
	// Sent is when the heartbeat was sent, by this daemon's clock with its monotonic reading. For an answer that another
	// daemon got and passed on it is a time before that.
	Sent time.Time
	// Applied is the offset that the daemon had applied.
	Applied    ident.Offset
	Recovering bool
}

// peer is what this daemon knows of another one.
type peer struct {
	incarnation ident.Incarnation
	// applied is the highest offset that the daemon has named in any message of its incarnation.
	applied ident.Offset
	// answers holds the last answers of the incarnation, the newest first.
	answers []HeartbeatAck
	// misses counts the heartbeats without an answer since the daemon was last heard.
	misses int
	// heard is when a message of the daemon last came.
	heard    time.Time
	inFlight bool
	// silent is true while no heartbeat is sent to the daemon.
	silent bool
	// direct is the newest answer to a heartbeat of this daemon, created is when the daemon was first met.
	direct  HeartbeatAck
	created time.Time
	// missedAt is when a heartbeat of this daemon was last missed, the zero time if none was.
	missedAt time.Time
	digest   *wire.Digest
	digestAt time.Time
}

// meet notes a message of an incarnation and reports whether it is the newest known.
func (p *peer) meet(incarnation ident.Incarnation, applied ident.Offset) bool {
	if !p.renew(incarnation, applied) {
		return false
	}
	p.misses = 0
	p.heard = time.Now()
	return true
}

// renew forgets an older incarnation and reports whether this is the newest known.
func (p *peer) renew(incarnation ident.Incarnation, applied ident.Offset) bool {
	if incarnation < p.incarnation {
		return false
	}
	if incarnation > p.incarnation {
		p.incarnation = incarnation
		p.answers = nil
		p.applied = 0
		p.direct = HeartbeatAck{}
	}
	p.applied = max(p.applied, applied)
	return true
}

// hear keeps an answer that another daemon got.
func (p *peer) hear(a HeartbeatAck) {
	if !p.renew(a.Incarnation, a.Applied) {
		return
	}
	p.keep(a)
	if a.Sent.After(p.heard) {
		p.heard = a.Sent
	}
}

// keep remembers an answer. Answers that come in another order than their heartbeats were sent are put in order.
func (p *peer) keep(a HeartbeatAck) {
	i := 0
	for i < len(p.answers) && p.answers[i].Sent.After(a.Sent) {
		i++
	}
	p.answers = append(p.answers, HeartbeatAck{})
	copy(p.answers[i+1:], p.answers[i:])
	p.answers[i] = a
	if len(p.answers) > keptAnswers {
		p.answers = p.answers[:keptAnswers]
	}
}

// newest returns the answer to the heartbeat that was sent last.
func (p *peer) newest() (HeartbeatAck, bool) {
	if len(p.answers) == 0 {
		return HeartbeatAck{}, false
	}
	return p.answers[0], true
}

// support returns the newest answer that names no offset above the given one and comes from a daemon that has
// forgotten nothing.
func (p *peer) support(applied ident.Offset) (HeartbeatAck, bool) {
	for _, a := range p.answers {
		if !a.Recovering && a.Applied <= applied {
			return a, true
		}
	}
	return HeartbeatAck{}, false
}

func answerOf(resp *wire.HeartbeatResponse, sent time.Time) HeartbeatAck {
	return HeartbeatAck{
		Daemon:      ident.DaemonID(resp.GetDaemonId()),
		Incarnation: ident.Incarnation(resp.GetIncarnation()),
		Sent:        sent,
		Applied:     ident.Offset(resp.GetAppliedOffset()),
		Recovering:  resp.GetRecovering(),
	}
}
