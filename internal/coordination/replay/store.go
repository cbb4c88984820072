package replay

import (
	"maps"
	"slices"
	"sync"
	"sync/atomic"

	"github.com/gooseberryway/gooseberryway/internal/protocol/wire"
	"github.com/gooseberryway/gooseberryway/internal/state/config"
	"github.com/gooseberryway/gooseberryway/internal/state/guard"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

// store holds the applied state, the state in force, the states between them, and the last records for other daemons.
type store struct {
	applied atomic.Pointer[config.State]
	inForce atomic.Pointer[config.State]

	mu sync.Mutex
	// history holds states in the order of their offsets, from the one in force to the applied one.
	history []*config.State
	// window holds the last records; offsetBeforeWindow is the offset of the record before the first of them.
	window             []*wire.LogEntry
	offsetBeforeWindow ident.Offset
	outcomes           outcomes
	// changed is closed when a new state is applied, and then replaced.
	changed chan struct{}
}

func (s *store) init() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.changed != nil {
		return
	}
	empty := config.NewState()
	s.history = []*config.State{empty}
	s.changed = make(chan struct{})
	s.inForce.Store(empty)
	s.applied.Store(empty)
}

// append applies the entries above the applied offset and reports whether there were any.
func (s *store) append(entries []*wire.LogEntry) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	current := s.applied.Load()
	entries = entriesAfter(entries, current.Offset())
	if len(entries) == 0 {
		return false
	}
	for len(entries) > 0 {
		n := batchLength(entries)
		current = s.applyBatch(current, entries[:n])
		entries = entries[n:]
	}
	countRecords.Add(int(current.Offset() - s.applied.Load().Offset()))
	s.trimWindow()
	s.publish(current)
	s.setInForceLocked(current.KnownInForce())
	return true
}

// entriesAfter returns the entries whose offset is above the given one. Entries are sorted by offset.
func entriesAfter(entries []*wire.LogEntry, offset ident.Offset) []*wire.LogEntry {
	for len(entries) > 0 && ident.Offset(entries[0].GetOffset()) <= offset {
		entries = entries[1:]
	}
	return entries
}

// batchLength returns how many entries to apply at once. A member record is a batch of its own, so that the history has
// a state for every membership change.
func batchLength(entries []*wire.LogEntry) int {
	for i, entry := range entries {
		if entry.GetRecord().GetMember() == nil {
			continue
		}
		return max(i, 1)
	}
	return len(entries)
}

// applyBatch applies the entries and adds them to the outcomes, the window and the history. The caller holds mu.
func (s *store) applyBatch(current *config.State, batch []*wire.LogEntry) *config.State {
	next, errs := current.ApplyAll(batch)
	for i, entry := range batch {
		id := ident.RecordID(entry.GetRecord().GetRecordId())
		s.outcomes.add(id, Result{Offset: ident.Offset(entry.GetOffset()), Err: errs[i]})
	}
	s.window = append(s.window, batch...)
	s.history = append(s.history, next)
	if len(s.history) > maxHistoryStates {
		s.history = thinHistory(s.history)
	}
	return next
}

// thinHistory drops every state that has the same membership as the last kept state before it, except the last state.
// So while no newer state comes into force, restarts of daemons don't fill the history. Only daemons that join, leave
// or are removed do.
func thinHistory(history []*config.State) []*config.State {
	kept := history[:1:1]
	for i := 1; i < len(history); i++ {
		last := i == len(history)-1
		if last || !sameMembership(kept[len(kept)-1], history[i]) {
			kept = append(kept, history[i])
		}
	}
	return kept
}

// sameMembership reports whether both states have the same members, with the same member states and failure domains.
func sameMembership(a, b *config.State) bool {
	if a.MembersChanged() == b.MembersChanged() {
		return true
	}
	return maps.EqualFunc(a.Members(), b.Members(), func(m, n *config.Member) bool {
		return m.State == n.State && m.FailureDomain == n.FailureDomain
	})
}

// trimWindow drops records that are in force, but keeps at least the last minWindowRecords. The caller holds mu.
func (s *store) trimWindow() {
	floor := s.history[0].Offset()
	drop := 0
	for drop < len(s.window)-minWindowRecords && ident.Offset(s.window[drop].GetOffset()) <= floor {
		drop++
	}
	if drop == 0 {
		return
	}
	s.offsetBeforeWindow = ident.Offset(s.window[drop-1].GetOffset())
	s.window = slices.Clone(s.window[drop:])
}

// publish makes next the applied state and wakes all goroutines that wait for a change. The caller holds mu.
func (s *store) publish(next *config.State) {
	before := s.applied.Load()
	if !guard.Check(next.Offset() >= before.Offset(), guard.ConfigMonotonic,
		"offset %d after offset %d", next.Offset(), before.Offset()) {
		return
	}
	s.applied.Store(next)
	close(s.changed)
	s.changed = make(chan struct{})
}

// reset replaces all states by base, which is in force, if base is newer than the applied state. Else it changes
// nothing and returns false.
func (s *store) reset(base *config.State) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if base.Offset() <= s.applied.Load().Offset() {
		return false
	}
	s.history = []*config.State{base}
	s.window = nil
	s.offsetBeforeWindow = base.Offset()
	s.inForce.Store(base)
	s.publish(base)
	return true
}

// setInForce advances the state in force to the newest one at or below the offset and returns it.
func (s *store) setInForce(offset ident.Offset) *config.State {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.setInForceLocked(offset)
}

// setInForceLocked is setInForce for callers that hold mu.
func (s *store) setInForceLocked(offset ident.Offset) *config.State {
	i := s.newestAt(offset)
	if i <= 0 {
		return s.history[0]
	}
	next := s.history[i]
	before := s.inForce.Load()
	guard.Check(next.Offset() >= before.Offset(), guard.ConfigMonotonic,
		"offset %d in force after offset %d", next.Offset(), before.Offset())
	s.history = slices.Clone(s.history[i:])
	s.inForce.Store(next)
	s.trimWindow()
	return next
}

// newestAt returns the index of the newest state in the history at or below the offset, or -1 if all are above it. The
// caller holds mu.
func (s *store) newestAt(offset ident.Offset) int {
	i := len(s.history) - 1
	for i >= 0 && s.history[i].Offset() > offset {
		i--
	}
	return i
}
