package moves

import (
	"cmp"
	"maps"
	"slices"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/gooseberryway/gooseberryway/internal/state/config"
	"github.com/gooseberryway/gooseberryway/internal/state/guard"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

// splitTable is an immutable snapshot but for the counters in its shares.
type splitTable struct {
	serving config.Serving
	active  map[routeKey]*share
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

// routeKey names a route of a model.
type routeKey = config.ModelRoute

// share is the live split of one move.
type share struct {
	move     config.Move
	salt     uint64
	permille ident.Permille
	// firstOwner says that the move had no owner before its present one.
	firstOwner bool

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
			key := routeKey{Model: m.Model, Route: r}
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
		sh.firstOwner = old.move.Owner == "" || (old.firstOwner && old.move.Owner == m.Owner)
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
		key := routeKey{Model: sh.move.Model, Route: firstRoute(&sh.move)}
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
	return t.serving.Version(key)
}

// find returns the active move of a route, nil if there is none.
func (t *splitTable) find(key routeKey) *share {
	if t == nil {
		return nil
	}
	if sh := t.active[key]; sh != nil {
		return sh
	}
	if sh := t.everywhere[key.Model]; sh != nil {
		if t.base(key) == sh.move.From || t.base(key) == sh.move.To {
			return sh
		}
	}
	return nil
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
