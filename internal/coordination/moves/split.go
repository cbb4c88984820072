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
// goroutines. They take no lock, except that Version takes one for the first probe of a route.
type Splitter struct {
	table atomic.Pointer[splitTable]
	// mu serialises the writers of table.
	mu sync.Mutex
}

// Update takes over the moves and models of a configuration.
func (s *Splitter) Update(state *config.State) { s.Replace(state.Serving(), activeMoves(state)) }

// Replace sets the versions that serve and the moves that have not ended, the one with the largest share first.
func (s *Splitter) Replace(serving config.ServingVersions, active []*config.Move) {
	s.mu.Lock()
	defer s.mu.Unlock()
	old := s.table.Load()
	t := &splitTable{
		serving:   serving,
		byRoute:   map[routeKey]*moveSplit{},
		byModel:   map[ident.ModelID]*moveSplit{},
		byMove:    map[ident.MoveID]*moveSplit{},
		takenBack: map[takenBackKey]*moveSplit{},
	}
	t.addActiveMoves(active, old)
	if old != nil {
		old.keepTakenBack(t)
	}
	s.table.Store(t)
}

// SplitKey holds what the choice of a version depends on.
type SplitKey struct {
	Model        ident.ModelID
	Route        ident.RouteID
	Organisation ident.OrganisationID
	RequestID    ident.RequestID
	// PrefixHash is the hash of the first blocks of the prompt, 0 if there is none. At larger shares it keeps
	// requests with the same prefix on one version, for cache locality.
	PrefixHash ident.BlockHash
}

// Version returns the version that a request goes to, "" for an unknown model.
func (s *Splitter) Version(req SplitKey) ident.VersionID {
	t := s.table.Load()
	if t == nil {
		return ""
	}
	key := routeKey{Model: req.Model, Route: req.Route}
	split := t.activeSplit(key)
	if split == nil {
		return t.servingVersion(key)
	}
	if !split.getsNewVersion(&req) {
		return split.move.From
	}
	return split.move.To
}

// getsNewVersion reports whether the request goes to the new version.
func (s *moveSplit) getsNewVersion(req *SplitKey) bool {
	if s.permille <= 0 || s.stop.stopped() {
		return false
	}
	if s.permille >= fullSharePermille {
		return s.requestHashPosition(req) < fullSharePermille-controlSharePermille
	}
	if s.probes.tryTake(req.Route, req.Organisation) {
		return true
	}
	return s.hashPosition(req) < uint64(s.permille)
}

// hashPosition maps a request to 0 to 999; it goes to the new version if that is below the share. The position is the
// same on every daemon and for every share, except that from stickyMinSharePermille on the hash of a prefix takes the
// place of that of the request, unless this daemon finds the prefix heavy.
func (s *moveSplit) hashPosition(req *SplitKey) uint64 {
	if req.PrefixHash != 0 && s.permille >= stickyMinSharePermille && !s.heavyPrefixes.addAndCheckHeavy(uint64(req.PrefixHash)) {
		return mix(uint64(req.PrefixHash)^s.salt) % fullSharePermille
	}
	return s.requestHashPosition(req)
}

func (s *moveSplit) requestHashPosition(req *SplitKey) uint64 {
	return mix(xxhash.Sum64String(string(req.RequestID))^s.salt) % fullSharePermille
}

// mix spreads the bits of a hash (the finaliser of SplitMix64).
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

// Sendable reports whether a request for which Version returned the version may still be sent to it. Call it right
// before each send, retries and resumed streams included, and ask Version again if it returns false.
func (s *Splitter) Sendable(model ident.ModelID, route ident.RouteID, version ident.VersionID) bool {
	t := s.table.Load()
	if t == nil {
		return false
	}
	key := routeKey{Model: model, Route: route}
	split := t.activeSplit(key)
	if split == nil {
		return t.servingVersion(key) == version
	}
	if version == split.move.From {
		return true
	}
	return version == split.move.To && split.permille > 0 && !split.stop.stopped()
}

// FallbackVersion returns the version to try for a request that no engine of the picked version can take; it is the
// picked version if there is no other.
func (s *Splitter) FallbackVersion(model ident.ModelID, route ident.RouteID, picked ident.VersionID) ident.VersionID {
	t := s.table.Load()
	if t == nil {
		return picked
	}
	split := t.activeSplit(routeKey{Model: model, Route: route})
	switch {
	case split == nil:
		return picked
	case picked == split.move.To:
		return split.move.From
	case split.permille == fullSharePermille && !split.stop.stopped():
		return split.move.To
	default:
		return picked
	}
}

// ServingVersion returns the version that serves a route outside of moves that have not ended.
func (s *Splitter) ServingVersion(model ident.ModelID, route ident.RouteID) ident.VersionID {
	t := s.table.Load()
	if t == nil {
		return ""
	}
	return t.servingVersion(routeKey{Model: model, Route: route})
}

// Stop ends the sending of new requests to the new version of a move on this daemon, at once and for good. It reports
// whether the move was not stopped before.
func (s *Splitter) Stop(move ident.MoveID, reason string) bool {
	split := s.table.Load().splitOf(move)
	return split != nil && split.stop.set(reason)
}

// selectProbingDaemons enables probes of each move on the first few daemons by rendezvous hashing, so that the number
// of probes does not grow with the fleet.
func (s *Splitter) selectProbingDaemons(self ident.DaemonID, live []ident.DaemonID) {
	for id, split := range s.table.Load().byMove {
		split.probes.enabled.Store(slices.Contains(rankOwners(id, live, probingDaemonsPerMove), self))
	}
}

// HasFirstOwner reports whether this daemon knows that a move had no owner before its present one.
func (s *Splitter) HasFirstOwner(move ident.MoveID) bool {
	split := s.table.Load().splitOf(move)
	return split != nil && split.hasFirstOwner
}

// Stopped reports whether this daemon has stopped the version in a move that has not ended.
func (s *Splitter) Stopped(version ident.VersionID) bool {
	t := s.table.Load()
	if t == nil {
		return false
	}
	for _, split := range t.byMove {
		if split.move.To == version && split.stop.stopped() {
			return true
		}
	}
	return false
}

// StopReason returns why this daemon has stopped the new version of the move, "" if it has not.
func (s *Splitter) StopReason(move ident.MoveID) string {
	split := s.table.Load().splitOf(move)
	if split == nil || !split.stop.stopped() {
		return ""
	}
	return *split.stop.reason.Load()
}

func (s *stopState) stopped() bool { return s.atNanos.Load() != 0 }

func (s *stopState) set(reason string) bool {
	s.reason.CompareAndSwap(nil, &reason)
	return s.atNanos.CompareAndSwap(0, time.Now().UnixNano())
}
