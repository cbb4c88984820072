package shed

import (
	"cmp"
	"maps"
	"slices"
	"sync/atomic"

	"github.com/gooseberryway/gooseberryway/internal/state/view"
)

// onTimeLevels is how many priorities at the upstreams requests have that can be on time. Late ones have the same number behind
// them, within the ten that upstreams distinguish.
const onTimeLevels = latePriorityOffset

// Ranks are the priorities of a configuration's requests at the upstreams. The organisation's priority decides; among those with the
// same, the route's does. Without an organisation's, the route's stands for it.
//
// The load pattern that it answers: routes of one service compete for upstreams that can't do all at once. Where the organisation's
// priority replaces the route's, short and urgent work waits behind long work of the same organisations.
type Ranks struct {
	levels map[view.ServiceID]map[rank]int
}

// rank is what orders two requests; the lower one is the more urgent.
type rank struct {
	first, second int
}

func (r rank) compare(o rank) int {
	return cmp.Or(cmp.Compare(r.first, o.first), cmp.Compare(r.second, o.second))
}

func rankOf(org *view.Organisation, route *view.Route) rank {
	if org != nil && org.HasPriority {
		return rank{first: org.Priority, second: route.Priority}
	}
	return rank{first: route.Priority, second: route.Priority}
}

// NewRanks returns the ranks of a configuration. If those of a service are more than there are levels, neighbours share one.
func NewRanks(c *view.Config) *Ranks {
	levels, orgs := map[view.ServiceID]map[rank]int{}, onePerPriority(c)
	for i := range c.Routes {
		for _, share := range c.Routes[i].Shares {
			if levels[share.Service] == nil {
				levels[share.Service] = map[rank]int{}
			}
			addRanks(levels[share.Service], c, &c.Routes[i], orgs)
		}
	}
	for _, ofService := range levels {
		setLevels(ofService)
	}
	return &Ranks{levels: levels}
}

// onePerPriority returns one organisation of each priority, and one without, so that large configurations are walked through only once.
func onePerPriority(c *view.Config) []*view.Organisation {
	type kind struct {
		has      bool
		priority int
	}
	seen := map[kind]bool{}
	var out []*view.Organisation
	for _, org := range c.Organisations {
		key := kind{has: org.HasPriority}
		if org.HasPriority {
			key.priority = org.Priority
		}
		if !seen[key] {
			seen[key] = true
			out = append(out, org)
		}
	}
	return out
}

// addRanks adds the ranks that requests of the organisations on the route can have.
func addRanks(levels map[rank]int, c *view.Config, route *view.Route, orgs []*view.Organisation) {
	if route.AllowsAnonymous || !c.RequiresKey() {
		levels[rankOf(nil, route)] = 0
	}
	for _, org := range orgs {
		levels[rankOf(org, route)] = 0
	}
}

func setLevels(levels map[rank]int) {
	ordered := slices.SortedFunc(maps.Keys(levels), rank.compare)
	for i, r := range ordered {
		levels[r] = i * min(len(ordered), onTimeLevels) / len(ordered)
	}
}

// Priority returns the priority at the service's upstreams of an organisation's requests on a route of the same configuration, from 0
// for the most urgent to onTimeLevels-1. A nil organisation stands for callers without a key.
func (r *Ranks) Priority(service view.ServiceID, org *view.Organisation, route *view.Route) int {
	return r.levels[service][rankOf(org, route)]
}

// RanksCache keeps the ranks of the configuration that was last asked for. The zero value is ready for use; it is safe for concurrent use.
type RanksCache struct {
	last atomic.Pointer[configRanks]
}

type configRanks struct {
	config *view.Config
	ranks  *Ranks
}

// Of returns the ranks of a published configuration.
func (c *RanksCache) Of(config *view.Config) *Ranks {
	if last := c.last.Load(); last != nil && last.config == config {
		return last.ranks
	}
	r := NewRanks(config)
	c.last.Store(&configRanks{config, r})
	return r
}
