package member

import (
	"cmp"
	"time"

	"github.com/gooseberryway/gooseberryway/internal/state/config"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

// round confirms that an offset is in force: at its start every holder had applied the offset, and a holder counts once
// it has answered a heartbeat sent after the start from the same incarnation. So a quorum held the offset at the same
// time, and any daemon that restarts later hears of it before it vouches again.
type round struct {
	offset  ident.Offset
	started time.Time
	holders map[ident.DaemonID]ident.Incarnation
}

// tracker finds the newest offset that is in force. A record is in force once a quorum of every view holds it and
// removalGrace has passed since, so that every lease that was granted without it has run out.
type tracker struct {
	rounds []round
	// lookAfter spaces the looks for an offset to confirm: while many views are not in force each takes long.
	lookAfter time.Time
	// grace overrides removalGrace; tests set it to show that the grace is needed.
	grace time.Duration
	// trusting counts holders without a second answer, unheld does without holders; tests set them to show that
	// the confirmation and the acknowledgements are needed.
	trusting, unheld bool
	// latest goes by the newest view only; tests set it to show that the older views are needed.
	latest bool
}

// advance starts and ends rounds and returns the newest offset known to be in force, 0 if no round has ended.
func (f *Membership) advance(now time.Time, state *config.State, history []*config.State) ident.Offset {
	f.startRound(now, state, history)
	t := &f.tracker
	for i := len(t.rounds) - 1; i >= 0; i-- {
		r := t.rounds[i]
		if now.Sub(r.started) < t.graceTime() || !f.confirmed(r, state, history) {
			continue
		}
		countInForce.Inc()
		t.rounds = append([]round(nil), t.rounds[i+1:]...)
		return r.offset
	}
	return 0
}

func (t *tracker) graceTime() time.Duration {
	if t.grace != 0 {
		return t.grace
	}
	return removalGrace
}

// startRound begins to confirm the newest offset that a quorum of every view has applied.
func (f *Membership) startRound(now time.Time, state *config.State, history []*config.State) {
	t := &f.tracker
	floor := history[0].Offset()
	if n := len(t.rounds); n > 0 {
		last := t.rounds[n-1]
		if now.Sub(last.started) < roundInterval {
			return
		}
		floor = max(floor, last.offset)
	}
	if state.Offset() <= floor {
		f.restartRound(now, state, history)
		return
	}
	if now.Before(t.lookAfter) {
		return
	}
	offset := f.heldOffset(state, history)
	t.lookAfter = now.Add(lookPause * time.Since(now))
	if offset <= floor {
		f.restartRound(now, state, history)
		return
	}
	t.rounds = append(t.rounds, f.newRound(now, offset, state))
	t.rounds = t.rounds[max(0, len(t.rounds)-maxRounds):]
}

// restartRound begins the newest round again when its holders can't confirm it any more.
func (f *Membership) restartRound(now time.Time, state *config.State, history []*config.State) {
	t := &f.tracker
	n := len(t.rounds)
	if n == 0 || now.Sub(t.rounds[n-1].started) < 2*removalGrace {
		return
	}
	offset := t.rounds[n-1].offset
	if f.heldOffset(state, history) < offset {
		return
	}
	t.rounds = []round{f.newRound(now, offset, state)}
}

func (f *Membership) newRound(now time.Time, offset ident.Offset, state *config.State) round {
	r := round{offset: offset, started: now, holders: map[ident.DaemonID]ident.Incarnation{}}
	for id := range state.Members() {
		if incarnation, held := f.holds(id, offset, state); held {
			r.holders[id] = incarnation
		}
	}
	return r
}

// holds reports whether the daemon is known to have applied the offset and to have forgotten nothing.
func (f *Membership) holds(id ident.DaemonID, offset ident.Offset, state *config.State) (ident.Incarnation, bool) {
	if id == f.Self.ID {
		return f.incarnation, !f.recovering && state.Offset() >= offset
	}
	p := f.peers[id]
	if p == nil {
		return 0, false
	}
	a, ok := p.newest()
	return a.Incarnation, ok && !a.Recovering && a.Applied >= offset
}

// heldOffset returns the newest offset that a quorum of every view up to it has applied.
func (f *Membership) heldOffset(state *config.State, history []*config.State) ident.Offset {
	offset := state.Offset()
	for !f.tracker.unheld {
		held := offset
		for _, ids := range f.views(history, offset) {
			held = min(held, f.heldBy(ids, state))
		}
		if held == offset {
			return offset
		}
		offset = held
	}
	return offset
}

// views returns the sets of witnesses that a record at the offset needs a quorum of.
func (f *Membership) views(history []*config.State, offset ident.Offset) [][]ident.DaemonID {
	newest := history[len(history)-1]
	if f.tracker.latest {
		history = history[len(history)-1:]
	}
	return f.sets.views(history, newest, offset)
}

// heldBy returns the newest offset that a quorum of the witnesses has applied.
func (f *Membership) heldBy(ids []ident.DaemonID, state *config.State) ident.Offset {
	var applied []ident.Offset
	for _, id := range ids {
		if id == f.Self.ID && !f.recovering {
			applied = append(applied, state.Offset())
			continue
		}
		if p := f.peers[id]; p != nil {
			if a, ok := p.newest(); ok && !a.Recovering {
				applied = append(applied, a.Applied)
			}
		}
	}
	return kthLargest(applied, forceQuorum(len(ids)), cmp.Compare[ident.Offset])
}

// confirmed reports whether a quorum of every view has confirmed the round.
func (f *Membership) confirmed(r round, state *config.State, history []*config.State) bool {
	if f.tracker.unheld {
		return true
	}
	for _, ids := range f.views(history, r.offset) {
		n := 0
		for _, id := range ids {
			if f.confirms(id, r, state) {
				n++
			}
		}
		if n < forceQuorum(len(ids)) {
			return false
		}
	}
	return true
}

func (f *Membership) confirms(id ident.DaemonID, r round, state *config.State) bool {
	then, held := r.holders[id]
	if !held {
		return false
	}
	now, held := f.holds(id, r.offset, state)
	if id == f.Self.ID || f.tracker.trusting {
		return held && now == then
	}
	a, ok := f.peers[id].newest()
	return held && ok && now == then && a.Sent.After(r.started)
}
