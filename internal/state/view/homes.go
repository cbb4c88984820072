package view

import (
	"encoding/hex"
	"hash/fnv"
	"slices"
	"strings"

	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

// Homes are the regions that may serve a request; nil for all. A list that is empty but not nil allows none.
type Homes []ident.Region

// Digest returns a text that differs between lists of homes, for cache salts; empty for nil. The order doesn't matter.
func (h Homes) Digest() string {
	if h == nil {
		return ""
	}
	names := make([]string, 0, len(h))
	for _, region := range h {
		names = append(names, string(region))
	}
	slices.Sort(names)
	sum := fnv.New64a()
	// A hash never returns an error.
	_, _ = sum.Write([]byte(strings.Join(slices.Compact(names), "\x00")))
	return hex.EncodeToString(sum.Sum(nil))
}

// Regions maps failure domains to their regions. Homes bind only where it isn't empty.
type Regions map[ident.FailureDomain]ident.Region

// Homes returns the homes of a route's request for an organisation, which may be nil. Where both have homes, both bind.
func (r Regions) Homes(route *Route, o *Organisation) Homes {
	var of []ident.Region
	if o != nil {
		of = o.Homes
	}
	switch {
	case len(r) == 0 || len(route.Homes) == 0 && len(of) == 0:
		return nil
	case len(of) == 0:
		return route.Homes
	case len(route.Homes) == 0:
		return of
	}
	both := Homes{}
	for _, region := range route.Homes {
		if slices.Contains(of, region) {
			both = append(both, region)
		}
	}
	return both
}

// Allows reports whether a failure domain lies in one of the homes. One without a known region lies in none.
func (r Regions) Allows(homes Homes, domain ident.FailureDomain) bool {
	if homes == nil {
		return true
	}
	region, known := r[domain]
	return known && slices.Contains(homes, region)
}

// Several reports whether there is more than one region.
func (r Regions) Several() bool {
	var first ident.Region
	seen := false
	for _, region := range r {
		if seen && region != first {
			return true
		}
		first, seen = region, true
	}
	return false
}

// HasHomes reports whether a route or an organisation has homes.
func (c *Config) HasHomes() bool { return c.hasHomes }

func (c *Config) listsHomes() bool {
	for i := range c.Routes {
		if len(c.Routes[i].Homes) > 0 {
			return true
		}
	}
	for _, o := range c.Organisations {
		if len(o.Homes) > 0 {
			return true
		}
	}
	return false
}

// HomesAt returns the regions that are homes of a route at a host; nil if there are none.
func (c *Config) HomesAt(host string) Homes {
	var out Homes
	for _, r := range c.byHost[host] {
		out = append(out, r.Homes...)
	}
	return out
}
