package moves

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/gooseberryway/gooseberryway/internal/state/config"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

// Splitter decides which version a request goes to. Version, Sendable and Stopped may be called from any number of
// goroutines; they take no lock.
type Splitter struct {
	table atomic.Pointer[splitTable]
	// mu serialises the writers of table.
	mu sync.Mutex
}

// Update takes over the moves and models of a configuration.
func (s *Splitter) Update(state *config.State) {
	s.mu.Lock()
	defer s.mu.Unlock()
	old := s.table.Load()
	t := &splitTable{
		serving:    state.Serving(),
		active:     map[routeKey]*share{},
		everywhere: map[ident.ModelID]*share{},
		byMove:     map[ident.MoveID]*share{},
		retired:    map[retiredKey]*share{},
	}
	t.applyActive(state, old)
	if old != nil {
		old.retire(t)
	}
	s.table.Store(t)
}

// SplitKey is what the choice of a version depends on.
type SplitKey struct {
	Model        ident.ModelID
	Route        ident.RouteID
	Organisation ident.OrganisationID
	Request      ident.RequestID
	// PrefixHash is the hash of the first blocks of the prompt, 0 if there is none; it keeps prefixes warm on one
	// version at the larger shares.
	PrefixHash ident.BlockHash
}

// Version returns the version that a request goes to, "" for an unknown model.
func (s *Splitter) Version(ask SplitKey) ident.VersionID {
	t := s.table.Load()
	if t == nil {
		return ""
	}
	key := routeKey{Model: ask.Model, Route: ask.Route}
	sh := t.find(key)
	if sh == nil {
		return t.base(key)
	}
	if !sh.takes(&ask) {
		return sh.move.From
	}
	return sh.move.To
}

// takes reports whether the new version gets the request.
func (sh *share) takes(ask *SplitKey) bool {
	if sh.permille <= 0 || sh.stop.stopped() {
		return false
	}
	if sh.permille >= wholePermille {
		return sh.requestPosition(ask) < wholePermille-controlPermille
	}
	if sh.probes.take(ask.Route, ask.Organisation) {
		return true
	}
	return sh.position(ask) < uint64(sh.permille)
}

// position places a request between 0 and 999, the same for every daemon and share but for the change to families.
func (sh *share) position(ask *SplitKey) uint64 {
	if ask.PrefixHash != 0 && sh.permille >= stickyFromPermille && !sh.families.heavy(uint64(ask.PrefixHash)) {
		return mix(uint64(ask.PrefixHash)^sh.salt) % wholePermille
	}
	return sh.requestPosition(ask)
}

func (sh *share) requestPosition(ask *SplitKey) uint64 {
	return mix(xxhash.Sum64String(string(ask.Request))^sh.salt) % wholePermille
}

// mix spreads the bits of a hash (the finaliser of SplitMix64).
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

// Sendable reports whether a request that was given the version may still be sent to it. Call it right before each
// send, retries and resumed streams included, and ask Version again if it returns false.
func (s *Splitter) Sendable(model ident.ModelID, route ident.RouteID, version ident.VersionID) bool {
	t := s.table.Load()
	if t == nil {
		return false
	}
	key := routeKey{Model: model, Route: route}
	sh := t.find(key)
	if sh == nil {
		return t.base(key) == version
	}
	if version == sh.move.From {
		return true
	}
	return version == sh.move.To && sh.permille > 0 && !sh.stop.stopped()
}

// FallbackVersion returns the version to try for a request that no engine of the picked version can take; it is the picked
// version if there is no other.
func (s *Splitter) FallbackVersion(model ident.ModelID, route ident.RouteID, picked ident.VersionID) ident.VersionID {
	t := s.table.Load()
	if t == nil {
		return picked
	}
	sh := t.find(routeKey{Model: model, Route: route})
	switch {
	case sh == nil:
		return picked
	case picked == sh.move.To:
		return sh.move.From
	case sh.permille == wholePermille && !sh.stop.stopped():
		return sh.move.To
	default:
		return picked
	}
}

// ServingVersion returns the version of a route outside of moves that have not ended.
func (s *Splitter) ServingVersion(model ident.ModelID, route ident.RouteID) ident.VersionID {
	t := s.table.Load()
	if t == nil {
		return ""
	}
	return t.base(routeKey{Model: model, Route: route})
}

// Stop ends the sending of new requests to the new version of a move on this daemon, at once and for good.
// It reports whether the move was not stopped before.
func (s *Splitter) Stop(move ident.MoveID, reason string) bool {
	sh := s.table.Load().shareOf(move)
	return sh != nil && sh.stop.set(reason)
}

// allowProbes chooses the daemons that send probes of each move: the first few by rendezvous hashing, so that the
// number of probes does not grow with the fleet.
func (s *Splitter) allowProbes(self ident.DaemonID, live []ident.DaemonID) {
	for id, sh := range s.table.Load().byMove {
		sh.probes.allowed.Store(slices.Contains(rankOwners(id, live, probingDaemons), self))
	}
}

// HasFirstOwner reports whether this daemon knows that a move had no owner before its present one.
func (s *Splitter) HasFirstOwner(move ident.MoveID) bool {
	sh := s.table.Load().shareOf(move)
	return sh != nil && sh.firstOwner
}

// Stopped reports whether this daemon has stopped the version in a move that has not ended.
func (s *Splitter) Stopped(version ident.VersionID) bool {
	t := s.table.Load()
	if t == nil {
		return false
	}
	for _, sh := range t.byMove {
		if sh.move.To == version && sh.stop.stopped() {
			return true
		}
	}
	return false
}

// StopReason returns why this daemon has stopped the new version of the move, "" if it has not.
func (s *Splitter) StopReason(move ident.MoveID) string {
	sh := s.table.Load().shareOf(move)
	if sh == nil || !sh.stop.stopped() {
		return ""
	}
	return *sh.stop.reason.Load()
}

func (m *stopMark) stopped() bool { return m.at.Load() != 0 }

func (m *stopMark) set(reason string) bool {
	m.reason.CompareAndSwap(nil, &reason)
	return m.at.CompareAndSwap(0, time.Now().UnixNano())
}
