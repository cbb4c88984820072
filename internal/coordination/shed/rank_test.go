package shed

import (
	"strconv"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/gooseberryway/gooseberryway/internal/state/ident"
	"github.com/gooseberryway/gooseberryway/internal/state/view"
)

// Guards against urgent routes that wait at engines behind long work, as the priority of the organisation hides theirs.
func TestRoutesOfAnOrganisationKeepTheirOrder(t *testing.T) {
	urgent, long := rankedRoute("urgent", 0), rankedRoute("long", 2)
	org := &view.Organisation{ID: "a", Priority: 1, HasPriority: true}
	r := NewRanks(rankedConfig([]view.Route{long, urgent}, org))
	require.Equal(t, 0, r.Priority("llm", org, &urgent))
	require.Equal(t, 1, r.Priority("llm", org, &long))
}

// Guards against a route's priority that goes before the organisation's, and against ranks beyond the levels.
func TestOrganisationPriorityTakesPrecedence(t *testing.T) {
	routes := []view.Route{rankedRoute("r0", 0), rankedRoute("r1", 1), rankedRoute("r2", 2)}
	var orgs []*view.Organisation
	for p := range 4 {
		orgs = append(orgs, &view.Organisation{ID: ident.OrganisationID(rune('a' + p)), Priority: p, HasPriority: true})
	}
	r := NewRanks(rankedConfig(routes, orgs...))
	last := 0
	for _, org := range orgs {
		for i := range routes {
			level := r.Priority("llm", org, &routes[i])
			require.GreaterOrEqual(t, level, last, "organisation %d, route %d", org.Priority, i)
			require.Less(t, level, onTimeLevels)
			last = level
		}
	}
	require.Equal(t, onTimeLevels-1, last)
}

// Guards against ranks of one service that take the levels of another's.
func TestServicesHaveRanksOfTheirOwn(t *testing.T) {
	routes := []view.Route{rankedRoute("urgent", 0), rankedRoute("long", 2)}
	for p := range 9 {
		other := rankedRoute("other", p)
		other.Shares[0].Service = "plain"
		routes = append(routes, other)
	}
	r := NewRanks(rankedConfig(routes))
	require.Equal(t, 0, r.Priority("llm", nil, &routes[0]))
	require.Equal(t, 1, r.Priority("llm", nil, &routes[1]))
}

// Guards against the ranks of an earlier configuration.
func TestRanksFollowTheConfiguration(t *testing.T) {
	first, second := rankedRoute("first", 0), rankedRoute("second", 1)
	var cache RanksCache
	before := rankedConfig([]view.Route{first, second})
	require.Equal(t, 1, cache.Of(before).Priority("llm", nil, &second))
	require.Same(t, cache.Of(before), cache.Of(before))
	require.Equal(t, 0, cache.Of(rankedConfig([]view.Route{second})).Priority("llm", nil, &second))
}

func rankedRoute(name ident.RouteID, priority int) view.Route {
	return view.Route{Name: name, Priority: priority, Shares: []view.Share{{Service: "llm", Weight: 1}}}
}

func rankedConfig(routes []view.Route, orgs ...*view.Organisation) *view.Config {
	c := &view.Config{Routes: routes, Organisations: map[ident.OrganisationID]*view.Organisation{}}
	for _, o := range orgs {
		c.Organisations[o.ID] = o
	}
	return c
}

// BenchmarkNewRanks is of a configuration with 17,000 organisations.
func BenchmarkNewRanks(b *testing.B) {
	c := &view.Config{Organisations: map[ident.OrganisationID]*view.Organisation{}}
	for i := range 17_000 {
		id := ident.OrganisationID(strconv.Itoa(i))
		c.Organisations[id] = &view.Organisation{ID: id, HasPriority: true, Priority: i % 3}
	}
	for i := range 30 {
		c.Routes = append(c.Routes, view.Route{Priority: i % 3, Shares: []view.Share{{Service: "s", Weight: 1}}})
	}
	for b.Loop() {
		NewRanks(c)
	}
}
