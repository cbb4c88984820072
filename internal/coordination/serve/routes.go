package serve

import (
	"cmp"
	"slices"
	"strings"
	"sync/atomic"

	"github.com/gooseberryway/gooseberryway/internal/state/config"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

// routeTable indexes the routes of one configuration state.
type routeTable struct {
	state *config.State
	// byTeamModel holds the model routes without a path prefix; of several for a team and model, the one with the lowest id.
	byTeamModel map[teamModel]*config.Route
	// byPrefix lists the routes with a path prefix, longest prefix first.
	byPrefix []*config.Route
}

type teamModel struct {
	team  ident.TeamID
	model ident.ModelID
}

// routeCache caches the table of the configuration state that was used last.
type routeCache struct {
	table atomic.Pointer[routeTable]
}

// tableFor returns the table of a state and rebuilds it if the state has changed.
func (c *routeCache) tableFor(st *config.State) *routeTable {
	if t := c.table.Load(); t != nil && t.state == st {
		return t
	}
	t := newRouteTable(st)
	c.table.Store(t)
	return t
}

func newRouteTable(st *config.State) *routeTable {
	t := &routeTable{state: st, byTeamModel: map[teamModel]*config.Route{}}
	for _, route := range st.Routes() {
		if route.PathPrefix != "" {
			t.byPrefix = append(t.byPrefix, route)
			continue
		}
		key := teamModel{team: route.Team, model: route.Model}
		if other := t.byTeamModel[key]; other == nil || route.ID < other.ID {
			t.byTeamModel[key] = route
		}
	}
	slices.SortFunc(t.byPrefix, func(a, b *config.Route) int {
		return cmp.Or(cmp.Compare(len(b.PathPrefix), len(a.PathPrefix)), cmp.Compare(a.ID, b.ID))
	})
	return t
}

// findByModel returns the route of a team for a model, among those without a path prefix.
func (t *routeTable) findByModel(team ident.TeamID, model ident.ModelID) (*config.Route, bool) {
	route, ok := t.byTeamModel[teamModel{team: team, model: model}]
	return route, ok
}

// findByPath returns the route with the longest path prefix that matches the path.
func (t *routeTable) findByPath(path string) (*config.Route, bool) {
	for _, route := range t.byPrefix {
		if hasPathPrefix(path, route.PathPrefix) {
			return route, true
		}
	}
	return nil, false
}

// hasPathPrefix reports whether the path starts with the prefix, in whole segments.
func hasPathPrefix(path, prefix string) bool {
	rest, ok := strings.CutPrefix(path, strings.TrimSuffix(prefix, "/"))
	return ok && (rest == "" || rest[0] == '/')
}
