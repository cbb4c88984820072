package member

import (
	"time"

	"github.com/gooseberryway/gooseberryway/internal/protocol/wire"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

// Answer is what a daemon answered to a heartbeat.
type Answer struct {
	Daemon      ident.DaemonID
	Incarnation ident.Incarnation
	// Sent is when the heartbeat was sent, by this daemon's clock with its monotonic reading.
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
	answers []Answer
	// misses counts the heartbeats without an answer since the daemon was last heard.
	misses int
	// heard is when a message of the daemon last came.
	heard    time.Time
	inFlight bool
}

// meet notes a message of an incarnation and reports whether it is the newest known.
func (p *peer) meet(incarnation ident.Incarnation, applied ident.Offset) bool {
	if incarnation < p.incarnation {
		return false
	}
	if incarnation > p.incarnation {
		p.incarnation = incarnation
		p.answers = nil
		p.applied = 0
	}
	p.applied = max(p.applied, applied)
	p.misses = 0
	p.heard = time.Now()
	return true
}

// keep remembers an answer. Answers that come in another order than their heartbeats were sent are put in order.
func (p *peer) keep(a Answer) {
	i := 0
	for i < len(p.answers) && p.answers[i].Sent.After(a.Sent) {
		i++
	}
	p.answers = append(p.answers, Answer{})
	copy(p.answers[i+1:], p.answers[i:])
	p.answers[i] = a
	if len(p.answers) > keptAnswers {
		p.answers = p.answers[:keptAnswers]
	}
}

// newest returns the answer to the heartbeat that was sent last.
func (p *peer) newest() (Answer, bool) {
	if len(p.answers) == 0 {
		return Answer{}, false
	}
	return p.answers[0], true
}

// support returns the newest answer that names no offset above the given one and comes from a daemon that has
// forgotten nothing.
func (p *peer) support(applied ident.Offset) (Answer, bool) {
	for _, a := range p.answers {
		if !a.Recovering && a.Applied <= applied {
			return a, true
		}
	}
	return Answer{}, false
}

func answerOf(resp *wire.HeartbeatResponse, sent time.Time) Answer {
	return Answer{
		Daemon:      ident.DaemonID(resp.GetDaemonId()),
		Incarnation: ident.Incarnation(resp.GetIncarnation()),
		Sent:        sent,
		Applied:     ident.Offset(resp.GetAppliedOffset()),
		Recovering:  resp.GetRecovering(),
	}
}
