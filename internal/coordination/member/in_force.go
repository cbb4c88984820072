package member

import (
	"cmp"
	"time"

	"github.com/gooseberryway/gooseberryway/internal/state/config"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

// round is one confirmation that an offset is in force. A daemon that had applied the offset when the round started
// confirms it by acknowledging, from the same incarnation, a heartbeat sent after that. So a quorum held the offset
// at the same time, and any daemon that restarts later learns of it before it acknowledges anything again.
type round struct {
	offset    ident.Offset
	started   time.Time
	appliedBy map[ident.DaemonID]ident.Incarnation
}

// inForceTracker finds the newest offset that is in force. A record is in force once a quorum of every witness set
// has applied it and inForceDelay has passed since, so that every lease granted without it has expired.
type inForceTracker struct {
	rounds []round
	// nextScan is the earliest time of the next scan for an offset to confirm: a scan takes long while many witness
	// sets are not in force.
	nextScan time.Time
	// delayOverride replaces inForceDelay; tests set it to show that the delay is needed.
	delayOverride time.Duration
	// skipConfirmation accepts daemons without a second acknowledgement, skipAcknowledgement accepts an offset that
	// no quorum has applied; tests set them to show that confirmations and acknowledgements are needed.
	skipConfirmation, skipAcknowledgement bool
	// newestSetOnly asks for a quorum of the newest witness set only; tests set it to show that the older sets are
	// needed.
	newestSetOnly bool
}

// advanceInForce starts and ends rounds. It returns the newest offset that a round which ended now has confirmed, 0
// if none ended. It is called with mu held.
func (f *Membership) advanceInForce(now time.Time, state *config.State, history []*config.State) ident.Offset {
	f.startRound(now, state, history)
	t := &f.tracker
	for i := len(t.rounds) - 1; i >= 0; i-- {
		r := t.rounds[i]
		if now.Sub(r.started) < t.delay() || !f.confirmed(r, state, history) {
			continue
		}
		countInForce.Inc()
		t.rounds = append([]round(nil), t.rounds[i+1:]...)
		return r.offset
	}
	return 0
}

func (t *inForceTracker) delay() time.Duration {
	if t.delayOverride != 0 {
		return t.delayOverride
	}
	return inForceDelay
}

// startRound starts to confirm the newest offset that a quorum of every witness set has applied.
func (f *Membership) startRound(now time.Time, state *config.State, history []*config.State) {
	t := &f.tracker
	floor := history[0].Offset()
	if n := len(t.rounds); n > 0 {
		last := t.rounds[n-1]
		if now.Sub(last.started) < confirmationInterval {
			return
		}
		floor = max(floor, last.offset)
	}
	if state.Offset() <= floor {
		f.restartRound(now, state, history)
		return
	}
	if now.Before(t.nextScan) {
		return
	}
	offset := f.quorumOffset(state, history)
	t.nextScan = now.Add(scanPauseFactor * time.Since(now))
	if offset <= floor {
		f.restartRound(now, state, history)
		return
	}
	t.rounds = append(t.rounds, f.newRound(now, offset, state))
	t.rounds = t.rounds[max(0, len(t.rounds)-maxOpenRounds):]
}

// restartRound replaces the newest round once it is older than 2*inForceDelay: a daemon that has restarted since can
// no longer confirm it.
func (f *Membership) restartRound(now time.Time, state *config.State, history []*config.State) {
	t := &f.tracker
	n := len(t.rounds)
	if n == 0 || now.Sub(t.rounds[n-1].started) < 2*inForceDelay {
		return
	}
	offset := t.rounds[n-1].offset
	if f.quorumOffset(state, history) < offset {
		return
	}
	t.rounds = []round{f.newRound(now, offset, state)}
}

func (f *Membership) newRound(now time.Time, offset ident.Offset, state *config.State) round {
	r := round{offset: offset, started: now, appliedBy: map[ident.DaemonID]ident.Incarnation{}}
	for id := range state.Members() {
		if incarnation, held := f.hasApplied(id, offset, state); held {
			r.appliedBy[id] = incarnation
		}
	}
	return r
}

// hasApplied returns the incarnation of the daemon and whether it is known to have applied the offset and is not
// recovering.
func (f *Membership) hasApplied(id ident.DaemonID, offset ident.Offset, state *config.State) (ident.Incarnation, bool) {
	if id == f.Self.ID {
		return f.incarnation, !f.recovering && state.Offset() >= offset
	}
	p := f.peers[id]
	if p == nil {
		return 0, false
	}
	a, ok := p.newestAck()
	return a.Incarnation, ok && !a.Recovering && a.Applied >= offset
}

// quorumOffset returns the newest offset that a quorum of every witness set up to that offset has applied.
func (f *Membership) quorumOffset(state *config.State, history []*config.State) ident.Offset {
	offset := state.Offset()
	for !f.tracker.skipAcknowledgement {
		held := offset
		for _, ids := range f.quorumSets(history, offset) {
			held = min(held, f.setQuorumOffset(ids, state))
		}
		if held == offset {
			return offset
		}
		offset = held
	}
	return offset
}

// quorumSets returns the witness sets that must each have a quorum for the record at the offset.
func (f *Membership) quorumSets(history []*config.State, offset ident.Offset) [][]ident.DaemonID {
	newest := history[len(history)-1]
	if f.tracker.newestSetOnly {
		history = history[len(history)-1:]
	}
	return f.witnessSets.quorumSets(history, newest, offset)
}

// setQuorumOffset returns the newest offset that a quorum of one witness set has applied.
func (f *Membership) setQuorumOffset(ids []ident.DaemonID, state *config.State) ident.Offset {
	var applied []ident.Offset
	for _, id := range ids {
		if id == f.Self.ID && !f.recovering {
			applied = append(applied, state.Offset())
			continue
		}
		if p := f.peers[id]; p != nil {
			if a, ok := p.newestAck(); ok && !a.Recovering {
				applied = append(applied, a.Applied)
			}
		}
	}
	return kthLargest(applied, inForceQuorum(len(ids)), cmp.Compare[ident.Offset])
}

// confirmed reports whether a quorum of every witness set has confirmed the round.
func (f *Membership) confirmed(r round, state *config.State, history []*config.State) bool {
	if f.tracker.skipAcknowledgement {
		return true
	}
	for _, ids := range f.quorumSets(history, r.offset) {
		n := 0
		for _, id := range ids {
			if f.confirms(id, r, state) {
				n++
			}
		}
		if n < inForceQuorum(len(ids)) {
			return false
		}
	}
	return true
}

func (f *Membership) confirms(id ident.DaemonID, r round, state *config.State) bool {
	initial, held := r.appliedBy[id]
	if !held {
		return false
	}
	current, held := f.hasApplied(id, r.offset, state)
	if id == f.Self.ID || f.tracker.skipConfirmation {
		return held && current == initial
	}
	a, ok := f.peers[id].newestAck()
	return held && ok && current == initial && a.Sent.After(r.started)
}
