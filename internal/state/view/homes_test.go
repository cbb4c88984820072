package view

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

// Guards against requests that reach a region which one of route and organisation rules out, or none where there are no homes.
func TestHomesOfRouteAndOrganisationBoth(t *testing.T) {
	regions := Regions{"n1": "north", "s1": "south", "w1": "west"}
	for name, c := range map[string]struct {
		regions             Regions
		route, organisation []ident.Region
		want                []ident.FailureDomain
	}{
		"neither":           {regions, nil, nil, []ident.FailureDomain{"n1", "s1", "w1", "unknown"}},
		"route":             {regions, []ident.Region{"north", "west"}, nil, []ident.FailureDomain{"n1", "w1"}},
		"organisation":      {regions, nil, []ident.Region{"south"}, []ident.FailureDomain{"s1"}},
		"both":              {regions, []ident.Region{"north", "west"}, []ident.Region{"west", "south"}, []ident.FailureDomain{"w1"}},
		"nothing in common": {regions, []ident.Region{"north"}, []ident.Region{"south"}, nil},
		"no such region":    {regions, []ident.Region{"east"}, nil, nil},
		"no regions":        {nil, []ident.Region{"north"}, []ident.Region{"south"}, []ident.FailureDomain{"n1", "s1", "w1", "unknown"}},
	} {
		homes := c.regions.Homes(&Route{Homes: c.route}, &Organisation{Homes: c.organisation})
		var got []ident.FailureDomain
		for _, domain := range []ident.FailureDomain{"n1", "s1", "w1", "unknown"} {
			if c.regions.Allows(homes, domain) {
				got = append(got, domain)
			}
		}
		require.Equal(t, c.want, got, name)
	}
	require.Nil(t, regions.Homes(&Route{}, nil))
}

// Guards against salts that change without homes, or that depend on the order in which homes are listed.
func TestDigestOfHomes(t *testing.T) {
	require.Empty(t, Homes(nil).Digest())
	require.Equal(t, "p.", CacheScope{}.Salt())
	require.Equal(t, Homes{"a", "b"}.Digest(), Homes{"b", "a"}.Digest())
	digests := map[string]bool{}
	for _, h := range []Homes{{}, {"a"}, {"b"}, {"a", "b"}, {"ab"}} {
		digests[h.Digest()] = true
	}
	require.Len(t, digests, 5)
}
