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

// splitTable is a snapshot of all moves. It is immutable except for the stop states, probes and counters of its
// splits.
type splitTable struct {
	serving config.ServingVersions
	byRoute map[routeKey]*moveSplit
	// byModel holds the active moves that shift all routes of their model.
	byModel map[ident.ModelID]*moveSplit
	byMove  map[ident.MoveID]*moveSplit
	// takenBack holds the last taken-back move of each route and version, to check that no more requests go to that
	// version.
	takenBack map[takenBackKey]*moveSplit
}

type takenBackKey struct {
	route   routeKey
	version ident.VersionID
}

// routeKey names a route of a model.
type routeKey = config.ModelRoute

// moveSplit is the state of one active move on the request path.
type moveSplit struct {
	move     config.Move
	salt     uint64
	permille ident.Permille
	// hasFirstOwner says that the move had no owner before its present one.
	hasFirstOwner bool

	stop          *stopState
	probes        *probeSet
	heavyPrefixes *prefixSketch
}

// stopState records that the version of a move was stopped on evidence or by the log. It outlives snapshots.
type stopState struct {
	// atNanos is the time of the stop in nanoseconds since the Unix epoch, 0 while the version may be used.
	atNanos atomic.Int64
	reason  atomic.Pointer[string]
}

func (t *splitTable) addActiveMoves(active []*config.Move, old *splitTable) {
	for _, m := range active {
		split := newMoveSplit(m, old.splitOf(m.ID))
		t.byMove[m.ID] = split
		if len(m.Routes) == 0 {
			if t.byModel[m.Model] == nil {
				t.byModel[m.Model] = split
			}
			continue
		}
		for _, r := range m.Routes {
			key := routeKey{Model: m.Model, Route: r}
			if t.byRoute[key] == nil {
				t.byRoute[key] = split
			}
		}
	}
}

func newMoveSplit(m *config.Move, old *moveSplit) *moveSplit {
	split := &moveSplit{move: *m, permille: m.Share, salt: xxhash.Sum64String(string(m.ID))}
	if old == nil {
		split.stop, split.probes, split.heavyPrefixes = &stopState{}, &probeSet{}, &prefixSketch{}
	} else {
		split.stop, split.probes, split.heavyPrefixes = old.stop, old.probes, old.heavyPrefixes
		split.hasFirstOwner = old.move.Owner == "" || (old.hasFirstOwner && old.move.Owner == m.Owner)
	}
	if m.Share > 0 && m.Step == 0 && (old == nil || old.permille == 0) {
		split.probes.grantAllRoutes(initialProbes)
	}
	return split
}

// keepTakenBack marks the moves that were taken back by the log as stopped and keeps them in next.
func (t *splitTable) keepTakenBack(next *splitTable) {
	maps.Copy(next.takenBack, t.takenBack)
	for id, split := range t.byMove {
		if next.byMove[id] != nil {
			continue
		}
		key := routeKey{Model: split.move.Model, Route: firstRoute(&split.move)}
		if next.servingVersion(key) == split.move.To {
			continue
		}
		split.stop.set("the move was taken back")
		next.takenBack[takenBackKey{key, split.move.To}] = split
	}
}

func firstRoute(m *config.Move) ident.RouteID {
	if len(m.Routes) == 0 {
		return ""
	}
	return m.Routes[0]
}

func (t *splitTable) splitOf(id ident.MoveID) *moveSplit {
	if t == nil {
		return nil
	}
	return t.byMove[id]
}

// servingVersion returns the version of a route outside of any active move.
func (t *splitTable) servingVersion(key routeKey) ident.VersionID {
	return t.serving.Version(key)
}

// activeSplit returns the active move of a route, nil if there is none.
func (t *splitTable) activeSplit(key routeKey) *moveSplit {
	if t == nil {
		return nil
	}
	if split := t.byRoute[key]; split != nil {
		return split
	}
	if split := t.byModel[key.Model]; split != nil {
		if t.servingVersion(key) == split.move.From || t.servingVersion(key) == split.move.To {
			return split
		}
	}
	return nil
}

// checkNotStopped checks that a request was not sent to a version later than exposureGrace after its stop.
func (t *splitTable) checkNotStopped(key routeKey, version ident.VersionID, started time.Time) {
	split := t.activeSplit(key)
	if split == nil || split.move.To != version {
		split = t.takenBack[takenBackKey{key, version}]
	}
	if split == nil {
		return
	}
	stoppedAt := split.stop.atNanos.Load()
	if stoppedAt == 0 {
		return
	}
	sinceStop := started.Sub(time.Unix(0, stoppedAt))
	guard.Check(sinceStop <= exposureGrace, guard.MoveExposure,
		"a request went to version %s of move %s %s after its stop", version, split.move.ID, sinceStop)
}

// activeMoves returns the moves that have not ended, the one with the largest share first; equal shares are sorted by
// id.
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
