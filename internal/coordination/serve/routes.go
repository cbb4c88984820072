package serve

import (
	"cmp"
	"slices"
	"strings"
	"sync/atomic"

	"github.com/gooseberryway/gooseberryway/internal/state/config"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

// routeTable finds routes in one state. It is rebuilt when the state changes.
type routeTable struct {
	state *config.State
	// model holds model routes without a path prefix by team and model, lowest id first.
	model map[modelKey]*config.Route
	// prefixed holds all routes with a path prefix, longest prefix first.
	prefixed []*config.Route
}

type modelKey struct {
	team  ident.TeamID
	model ident.ModelID
}

// routeCache keeps the table of the newest state.
type routeCache struct {
	table atomic.Pointer[routeTable]
}

func (c *routeCache) of(st *config.State) *routeTable {
	if t := c.table.Load(); t != nil && t.state == st {
		return t
	}
	t := newRouteTable(st)
	c.table.Store(t)
	return t
}

func newRouteTable(st *config.State) *routeTable {
	t := &routeTable{state: st, model: map[modelKey]*config.Route{}}
	for _, route := range st.Routes() {
		if route.PathPrefix != "" {
			t.prefixed = append(t.prefixed, route)
			continue
		}
		key := modelKey{team: route.Team, model: route.Model}
		if other := t.model[key]; other == nil || route.ID < other.ID {
			t.model[key] = route
		}
	}
	slices.SortFunc(t.prefixed, func(a, b *config.Route) int {
		return cmp.Or(cmp.Compare(len(b.PathPrefix), len(a.PathPrefix)), cmp.Compare(a.ID, b.ID))
	})
	return t
}

// byModel returns the route of a team for a model.
func (t *routeTable) byModel(team ident.TeamID, model ident.ModelID) (*config.Route, bool) {
	route, ok := t.model[modelKey{team: team, model: model}]
	return route, ok
}

// byPath returns the route with the longest prefix of the path.
func (t *routeTable) byPath(path string) (*config.Route, bool) {
	for _, route := range t.prefixed {
		if hasPathPrefix(path, route.PathPrefix) {
			return route, true
		}
	}
	return nil, false
}

// hasPathPrefix reports whether the prefix ends at a segment of the path.
func hasPathPrefix(path, prefix string) bool {
	rest, ok := strings.CutPrefix(path, strings.TrimSuffix(prefix, "/"))
	return ok && (rest == "" || rest[0] == '/')
}
