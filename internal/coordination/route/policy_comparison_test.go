package route

import (
	"flag"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var (
	printTableFlag      = flag.Bool("route.table", false, "compare all policies and log a table")
	seedFlag            = flag.Uint64("route.seed", 1, "first seed of the policy comparison")
	seedsFlag           = flag.Uint64("route.seeds", 3, "number of seeds of the policy comparison")
	durationFlag        = flag.Duration("route.time", 40*time.Second, "simulated time of the policy comparison")
	recomputeWeightFlag = flag.Float64("route.weight", 0, "recompute weight of the prefix policy")
	tieToleranceFlag    = flag.Float64("route.slack", 0, "tie tolerance of the prefix policy")
	loadFlag            = flag.Float64("route.load", 0, "requests per second per engine")
)

var profiles = map[string]simulation{
	"consortium": {engineCount: 12, daemons: 7, requestsPerEngine: 2.4},
	"spogulis":   {engineCount: 18, daemons: 6, requestsPerEngine: 2.4},
}

// TestPrefixAwareMeetsTargets compares PrefixAware with LeastLoad on the same simulated traffic: hit rate, p99 of the TTFT,
// fairness between organisations, wasted computation and the hit rate after half of the daemons restart.
func TestPrefixAwareMeetsTargets(t *testing.T) {
	for _, name := range sortedProfiles() {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			sim := profiles[name]
			sim.policy = LeastLoad{}
			baseline := sim.measureSeeds(t, 3)
			sim.policy = PrefixAware{}
			got := sim.measureSeeds(t, 3)
			t.Log(name, "leastLoad", baseline)
			t.Log(name, "prefix   ", got)
			require.GreaterOrEqual(t, got.hitRate, 2*baseline.hitRate)
			require.LessOrEqual(t, got.p99, baseline.p99/2)
			require.LessOrEqual(t, got.worstOrganisationRatio, 1.5)
			require.Less(t, got.wastedShare, 0.05)
			require.Greater(t, got.afterRestart, got.beforeRestart-0.02, "after half of the daemons restart")
		})
	}
}

// TestPolicyTable logs the results of all policies and of variants of the simulation if -route.table is set.
func TestPolicyTable(t *testing.T) {
	p := PrefixAware{RecomputeWeight: *recomputeWeightFlag, TieTolerance: *tieToleranceFlag}
	cases := []struct {
		name string
		set  func(*simulation)
	}{
		{"random", func(sim *simulation) { sim.policy = Random{} }},
		{"roundRobin", func(sim *simulation) { sim.policy = &RoundRobin{} }},
		{"leastLoad", func(sim *simulation) { sim.policy = LeastLoad{} }},
		{"prefix", func(sim *simulation) { sim.policy = p }},
		{"prefix-two-daemons-per-family", func(sim *simulation) { sim.policy, sim.daemonsPerFamily = p, 2 }},
		{"prefix-no-notices", func(sim *simulation) { sim.policy, sim.noNotices = p, true }},
		{"prefix-no-subsets-no-notices", func(sim *simulation) { sim.policy, sim.noSubsets, sim.noNotices = p, true, true }},
		{"prefix-no-subsets", func(sim *simulation) { sim.policy, sim.noSubsets = p, true }},
		{"prefix-cold-restart", func(sim *simulation) { sim.policy, sim.coldRestart = p, true }},
		{"prefix-same-priority", func(sim *simulation) { sim.policy, sim.samePriority = p, true }},
		{"leastLoad-exceed-rate", func(sim *simulation) { sim.policy, sim.exceedRate = LeastLoad{}, true }},
		{"prefix-exceed-rate", func(sim *simulation) { sim.policy, sim.exceedRate = p, true }},
		{"prefix-exceed-rate-same-priority", func(sim *simulation) { sim.policy, sim.exceedRate, sim.samePriority = p, true, true }},
		{"prefix-crash", func(sim *simulation) { sim.policy, sim.crash = p, true }},
		{"omniscient", func(sim *simulation) { sim.policy, sim.omniscient = p, true }},
	}
	if !*printTableFlag {
		cases = nil
	}
	for _, name := range sortedProfiles() {
		for _, c := range cases {
			sim := profiles[name]
			c.set(&sim)
			if *loadFlag > 0 {
				sim.requestsPerEngine = *loadFlag
			}
			t.Logf("%s %-32s %s", name, c.name, sim.measureSeeds(t, *seedsFlag))
		}
	}
}

func sortedProfiles() []string { return slices.Sorted(maps.Keys(profiles)) }
