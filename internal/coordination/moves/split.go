package moves

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/gooseberryway/gooseberryway/internal/state/config"
	"github.com/gooseberryway/gooseberryway/internal/state/guard"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

// Splitter decides which version a request goes to. Version, Sendable and Stopped may be called from any number of
// goroutines; they take no lock.
type Splitter struct {
	table atomic.Pointer[splitTable]
	// mu serialises the writers of table.
	mu sync.Mutex
}

// splitTable is an immutable snapshot but for the counters in its shares.
type splitTable struct {
	// current holds the version of each model for routes that no move has shifted.
	current map[ident.ModelID]ident.VersionID
	// moved holds the version of routes that moves of single routes have shifted.
	moved  map[routeKey]ident.VersionID
	active map[routeKey]*share
	// everywhere holds active moves that shift all routes of their model.
	everywhere map[ident.ModelID]*share
	byMove     map[ident.MoveID]*share
	// retired holds the last taken-back move of each route and version, to check what is still sent.
	retired map[retiredKey]*share
}

type retiredKey struct {
	route   routeKey
	version ident.VersionID
}

type routeKey struct {
	model ident.ModelID
	route ident.RouteID
}

// share is the live split of one move.
type share struct {
	move     config.Move
	salt     uint64
	permille ident.Permille
	stop     *stopMark
	probes   *probeSet
	families *familySketch
}

// stopMark records a stop on this daemon's evidence or by the log; it outlives snapshots.
type stopMark struct {
	// at is the time of the stop in nanoseconds of the runtime clock, 0 while the version may be used.
	at     atomic.Int64
	reason atomic.Pointer[string]
}

// Update takes over the moves and models of a configuration.
func (s *Splitter) Update(state *config.State) {
	s.mu.Lock()
	defer s.mu.Unlock()
	old := s.table.Load()
	t := &splitTable{
		current:    make(map[ident.ModelID]ident.VersionID, len(state.Models())),
		moved:      map[routeKey]ident.VersionID{},
		active:     map[routeKey]*share{},
		everywhere: map[ident.ModelID]*share{},
		byMove:     map[ident.MoveID]*share{},
		retired:    map[retiredKey]*share{},
	}
	for id, m := range state.Models() {
		t.current[id] = m.CurrentVersion
	}
	t.applyDone(state)
	t.applyActive(state, old)
	if old != nil {
		old.retire(t)
	}
	s.table.Store(t)
}

// applyDone shifts models and routes along the moves that are done, oldest first.
func (t *splitTable) applyDone(state *config.State) {
	for _, m := range movesByRevision(state) {
		if m.State != config.MoveDone {
			continue
		}
		if len(m.Routes) == 0 {
			t.applyDoneModel(state, m)
			continue
		}
		for _, r := range m.Routes {
			key := routeKey{m.Model, r}
			if t.base(key) == m.From {
				t.moved[key] = m.To
			}
		}
	}
}

// applyDoneModel shifts a whole model unless its entity was changed after the move.
func (t *splitTable) applyDoneModel(state *config.State, m *config.Move) {
	model, ok := state.Model(m.Model)
	if !ok || t.current[m.Model] != m.From {
		return
	}
	if state.Revision(config.PathOf(m)) > state.Revision(config.PathOf(model)) {
		t.current[m.Model] = m.To
	}
}

func (t *splitTable) applyActive(state *config.State, old *splitTable) {
	for _, m := range activeMoves(state) {
		sh := newShare(m, old.shareOf(m.ID))
		t.byMove[m.ID] = sh
		if len(m.Routes) == 0 {
			if t.everywhere[m.Model] == nil {
				t.everywhere[m.Model] = sh
			}
			continue
		}
		for _, r := range m.Routes {
			key := routeKey{m.Model, r}
			if t.active[key] == nil {
				t.active[key] = sh
			}
		}
	}
}

func newShare(m *config.Move, old *share) *share {
	sh := &share{move: *m, permille: m.Share, salt: xxhash.Sum64String(string(m.ID))}
	if old == nil {
		sh.stop, sh.probes, sh.families = &stopMark{}, &probeSet{}, &familySketch{}
	} else {
		sh.stop, sh.probes, sh.families = old.stop, old.probes, old.families
	}
	if m.Share > 0 && m.Step == 0 && (old == nil || old.permille == 0) {
		sh.probes.arm(firstProbes)
	}
	return sh
}

// retire marks the moves that the log took back as stopped and keeps them in next.
func (t *splitTable) retire(next *splitTable) {
	maps.Copy(next.retired, t.retired)
	for id, sh := range t.byMove {
		if next.byMove[id] != nil {
			continue
		}
		key := routeKey{sh.move.Model, firstRoute(&sh.move)}
		if next.base(key) == sh.move.To {
			continue
		}
		sh.stop.set("the move was taken back")
		next.retired[retiredKey{key, sh.move.To}] = sh
	}
}

func firstRoute(m *config.Move) ident.RouteID {
	if len(m.Routes) == 0 {
		return ""
	}
	return m.Routes[0]
}

func (t *splitTable) shareOf(id ident.MoveID) *share {
	if t == nil {
		return nil
	}
	return t.byMove[id]
}

// base returns the version of a route outside of any active move.
func (t *splitTable) base(key routeKey) ident.VersionID {
	if v, ok := t.moved[key]; ok {
		return v
	}
	return t.current[key.model]
}

// find returns the active move of a route, nil if there is none.
func (t *splitTable) find(key routeKey) *share {
	if t == nil {
		return nil
	}
	if sh := t.active[key]; sh != nil {
		return sh
	}
	if sh := t.everywhere[key.model]; sh != nil {
		if t.base(key) == sh.move.From || t.base(key) == sh.move.To {
			return sh
		}
	}
	return nil
}

// Ask is what the choice of a version depends on.
type Ask struct {
	Model        ident.ModelID
	Route        ident.RouteID
	Organisation ident.OrganisationID
	Request      ident.RequestID
	// Family is the hash of the first blocks of the prompt, 0 if there is none; it keeps prefixes warm on one
	// version at the larger shares.
	Family ident.BlockHash
}

// Version returns the version that a request goes to, "" for an unknown model.
func (s *Splitter) Version(ask Ask) ident.VersionID {
	t := s.table.Load()
	if t == nil {
		return ""
	}
	key := routeKey{ask.Model, ask.Route}
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
func (sh *share) takes(ask *Ask) bool {
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
func (sh *share) position(ask *Ask) uint64 {
	if ask.Family != 0 && sh.permille >= stickyFromPermille && !sh.families.heavy(uint64(ask.Family)) {
		return mix(uint64(ask.Family)^sh.salt) % wholePermille
	}
	return sh.requestPosition(ask)
}

func (sh *share) requestPosition(ask *Ask) uint64 {
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
	key := routeKey{model, route}
	sh := t.find(key)
	if sh == nil {
		return t.base(key) == version
	}
	if version == sh.move.From {
		return true
	}
	return version == sh.move.To && sh.permille > 0 && !sh.stop.stopped()
}

// Other returns the version to try for a request that no engine of the picked version can take; it is the picked
// version if there is no other.
func (s *Splitter) Other(model ident.ModelID, route ident.RouteID, picked ident.VersionID) ident.VersionID {
	t := s.table.Load()
	if t == nil {
		return picked
	}
	sh := t.find(routeKey{model, route})
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

// Serving returns the version of a route outside of moves that have not ended.
func (s *Splitter) Serving(model ident.ModelID, route ident.RouteID) ident.VersionID {
	t := s.table.Load()
	if t == nil {
		return ""
	}
	return t.base(routeKey{model, route})
}

// Stop ends the sending of new requests to the new version of a move on this daemon, at once and for good.
// It reports whether the move was not stopped before.
func (s *Splitter) Stop(move ident.MoveID, reason string) bool {
	sh := s.table.Load().shareOf(move)
	return sh != nil && sh.stop.set(reason)
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

// checkSent checks that a request was not sent to a version long after its stop.
func (t *splitTable) checkSent(key routeKey, version ident.VersionID, started time.Time) {
	sh := t.find(key)
	if sh == nil || sh.move.To != version {
		sh = t.retired[retiredKey{key, version}]
	}
	if sh == nil {
		return
	}
	at := sh.stop.at.Load()
	if at == 0 {
		return
	}
	late := started.Sub(time.Unix(0, at))
	guard.Check(late <= exposureGrace, guard.MoveExposure,
		"a request went to version %s of move %s %s after its stop", version, sh.move.ID, late)
}

func (m *stopMark) stopped() bool { return m.at.Load() != 0 }

func (m *stopMark) set(reason string) bool {
	m.reason.CompareAndSwap(nil, &reason)
	return m.at.CompareAndSwap(0, time.Now().UnixNano())
}

// activeMoves returns the moves that have not ended, the one with the larger share first.
func activeMoves(state *config.State) []*config.Move {
	var active []*config.Move
	for _, m := range state.Moves() {
		if !m.State.Ended() {
			active = append(active, m)
		}
	}
	slices.SortFunc(active, func(a, b *config.Move) int {
		return cmp.Or(cmp.Compare(b.Share, a.Share), cmp.Compare(a.ID, b.ID))
	})
	return active
}

func movesByRevision(state *config.State) []*config.Move {
	all := make([]*config.Move, 0, len(state.Moves()))
	for _, m := range state.Moves() {
		all = append(all, m)
	}
	slices.SortFunc(all, func(a, b *config.Move) int {
		return cmp.Compare(state.Revision(config.PathOf(a)), state.Revision(config.PathOf(b)))
	})
	return all
}
