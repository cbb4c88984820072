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

// store holds the applied state, the states between it and the one in force, and the records for relaying.
type store struct {
	applied atomic.Pointer[config.State]
	inForce atomic.Pointer[config.State]

	mu sync.Mutex
	// history holds states in order, from the one in force to the applied one.
	history []*config.State
	// window holds the last records; windowAfter is the offset that the first of them follows.
	window      []*wire.LogEntry
	windowAfter ident.Offset
	outcomes    outcomes
	changed     chan struct{}
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

// append applies the entries that are new and reports whether there were any.
func (s *store) append(entries []*wire.LogEntry) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	current := s.applied.Load()
	entries = newer(entries, current.Offset())
	if len(entries) == 0 {
		return false
	}
	for len(entries) > 0 {
		n := runLength(entries)
		current = s.applyRun(current, entries[:n])
		entries = entries[n:]
	}
	countRecords.Add(int(current.Offset() - s.applied.Load().Offset()))
	s.trimWindow()
	s.publish(current)
	s.adopt(current.KnownInForce())
	return true
}

func newer(entries []*wire.LogEntry, than ident.Offset) []*wire.LogEntry {
	for len(entries) > 0 && ident.Offset(entries[0].GetOffset()) <= than {
		entries = entries[1:]
	}
	return entries
}

// runLength returns how many entries to apply at once, so that every change of the members has a state of its own.
func runLength(entries []*wire.LogEntry) int {
	for i, entry := range entries {
		if entry.GetRecord().GetMember() == nil {
			continue
		}
		return max(i, 1)
	}
	return len(entries)
}

func (s *store) applyRun(current *config.State, run []*wire.LogEntry) *config.State {
	next, errs := current.ApplyAll(run)
	for i, entry := range run {
		id := ident.RecordID(entry.GetRecord().GetRecordId())
		s.outcomes.add(id, Result{Offset: ident.Offset(entry.GetOffset()), Err: errs[i]})
	}
	s.window = append(s.window, run...)
	s.history = append(s.history, next)
	if len(s.history) > maxHistory {
		s.history = thinned(s.history)
	}
	return next
}

// thinned drops states whose members take the same part as those of the state before them, but for the last. So while
// nothing comes into force, restarts don't fill the history, only daemons that join, leave or are removed do.
func thinned(history []*config.State) []*config.State {
	kept := history[:1:1]
	for i := 1; i < len(history); i++ {
		last := i == len(history)-1
		if last || !sameParts(kept[len(kept)-1], history[i]) {
			kept = append(kept, history[i])
		}
	}
	return kept
}

// sameParts reports whether the states have the same members in the same states and failure domains.
func sameParts(a, b *config.State) bool {
	if a.MembersChanged() == b.MembersChanged() {
		return true
	}
	return maps.EqualFunc(a.Members(), b.Members(), func(m, n *config.Member) bool {
		return m.State == n.State && m.FailureDomain == n.FailureDomain
	})
}

// trimWindow drops records that are in force, but for the last ones.
func (s *store) trimWindow() {
	floor := s.history[0].Offset()
	drop := 0
	for drop < len(s.window)-relayKeep && ident.Offset(s.window[drop].GetOffset()) <= floor {
		drop++
	}
	if drop == 0 {
		return
	}
	s.windowAfter = ident.Offset(s.window[drop-1].GetOffset())
	s.window = slices.Clone(s.window[drop:])
}

// publish makes a state the applied one and wakes all who wait. The caller holds mu.
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

// reset goes on from a state that is in force and newer than the applied one; else it does nothing.
func (s *store) reset(base *config.State) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if base.Offset() <= s.applied.Load().Offset() {
		return false
	}
	s.history = []*config.State{base}
	s.window = nil
	s.windowAfter = base.Offset()
	s.inForce.Store(base)
	s.publish(base)
	return true
}

// setInForce moves the state in force up to the newest one whose offset is not above the given one.
func (s *store) setInForce(offset ident.Offset) *config.State {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.adopt(offset)
}

// adopt is setInForce with mu held.
func (s *store) adopt(offset ident.Offset) *config.State {
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

// newestAt returns the index of the newest state in the history at or below the offset, -1 if all are above.
func (s *store) newestAt(offset ident.Offset) int {
	i := len(s.history) - 1
	for i >= 0 && s.history[i].Offset() > offset {
		i--
	}
	return i
}
