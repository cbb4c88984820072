package view

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

// Guards against parts that an organisation uses although their maker, or the organisation, is isolated. Daemons know different versions
// of the configuration and restart; organisations are isolated, shared, removed and made again; parts outlive all of that.
func TestNoPartIsSharedWithIsolatedOrganisation(t *testing.T) {
	names := []ident.OrganisationID{"a", "b", "c", "ab", "p."}
	rapid.Check(t, func(t *rapid.T) {
		versions := []*Config{drawConfig(t, names)}
		daemons := []int{0, 0, 0}
		// makers holds who made what is cached under a salt: engines and stores keep parts as they were first made.
		makers := map[string][]ident.OrganisationID{}
		t.Repeat(map[string]func(*rapid.T){
			"configure": func(t *rapid.T) { versions = append(versions, drawConfig(t, names)) },
			"apply": func(t *rapid.T) {
				d := rapid.IntRange(0, len(daemons)-1).Draw(t, "daemon")
				daemons[d] = rapid.IntRange(daemons[d], len(versions)-1).Draw(t, "version")
			},
			"request": func(t *rapid.T) {
				c := versions[daemons[rapid.IntRange(0, len(daemons)-1).Draw(t, "daemon")]]
				user := rapid.SampledFrom(names).Draw(t, "user")
				scope := c.CacheScope(user)
				for _, maker := range makers[scope.Salt()] {
					if maker == user {
						continue
					}
					require.False(t, isIsolated(c, user), "%s uses what %s made", user, maker)
					require.False(t, isIsolated(c, maker), "%s uses what %s made", user, maker)
				}
				makers[scope.Salt()] = append(makers[scope.Salt()], user)
			},
			"": func(*rapid.T) {},
		})
	})
}

func drawConfig(t *rapid.T, names []ident.OrganisationID) *Config {
	c := &Config{Organisations: map[ident.OrganisationID]*Organisation{}}
	for _, id := range names {
		if state := rapid.IntRange(0, 2).Draw(t, fmt.Sprint("state of ", id)); state > 0 {
			c.Organisations[id] = &Organisation{ID: id, Isolated: state == 2}
		}
	}
	c.BuildIndex()
	return c
}

func isIsolated(c *Config, id ident.OrganisationID) bool {
	o := c.Organisations[id]
	return o != nil && o.Isolated
}

// Guards against daemons that don't agree on the shared pool, and a pool that becomes cold although the same organisations share it.
func TestPoolDependsOnIsolatedOrganisationsOnly(t *testing.T) {
	config := func(shared, isolated []ident.OrganisationID) *Config {
		c := &Config{Organisations: map[ident.OrganisationID]*Organisation{}}
		for _, id := range shared {
			c.Organisations[id] = &Organisation{ID: id, Rate: float64(len(shared))}
		}
		for _, id := range isolated {
			c.Organisations[id] = &Organisation{ID: id, Isolated: true}
		}
		c.BuildIndex()
		return c
	}
	type ids = []ident.OrganisationID
	base := config(ids{"a", "b"}, ids{"x", "y"}).CacheScope("a")
	require.Equal(t, base, config(ids{"b", "a", "new"}, ids{"y", "x"}).CacheScope("b"))
	require.Equal(t, base, config(nil, ids{"y", "x"}).CacheScope(""), "callers without a key")
	require.NotEqual(t, base, config(ids{"a"}, ids{"x", "y", "b"}).CacheScope("a"))
	require.NotEqual(t, base, config(ids{"a", "b"}, ids{"xy"}).CacheScope("a"))
	require.Equal(t, CacheScope{}, config(ids{"a", "b"}, nil).CacheScope("a"))
	require.Equal(t, CacheScope{Owner: "gone"}, config(ids{"a"}, nil).CacheScope("gone"))
}
