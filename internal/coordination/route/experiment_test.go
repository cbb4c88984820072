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
	tableFlag  = flag.Bool("route.table", false, "measure all policies and log a table")
	seedFlag   = flag.Uint64("route.seed", 1, "seed of the policy experiment")
	seedsFlag  = flag.Uint64("route.seeds", 3, "number of seeds of the policy experiment")
	timeFlag   = flag.Duration("route.time", 40*time.Second, "simulated time of the policy experiment")
	weightFlag = flag.Float64("route.weight", 0, "recompute weight of the prefix policy")
	slackFlag  = flag.Float64("route.slack", 0, "slack of the prefix policy")
	loadFlag   = flag.Float64("route.load", 0, "requests a second for each engine")
)

var profiles = map[string]trial{
	"consortium": {engineCount: 12, daemons: 7, perEngine: 2.4},
	"spogulis":   {engineCount: 18, daemons: 6, perEngine: 2.4},
}

// TestPrefixMeetsTheTargets compares the prefix policy with leastLoad on the same traffic.
func TestPrefixMeetsTheTargets(t *testing.T) {
	for _, name := range sortedProfiles() {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			tr := profiles[name]
			tr.policy = LeastLoad{}
			base := tr.measure(t, 3)
			tr.policy = PrefixAware{}
			got := tr.measure(t, 3)
			t.Log(name, "leastLoad", base)
			t.Log(name, "prefix   ", got)
			require.GreaterOrEqual(t, got.hit, 2*base.hit)
			require.LessOrEqual(t, got.p99, base.p99/2)
			require.LessOrEqual(t, got.worst, 1.5)
			require.Less(t, got.wasted, 0.05)
			require.Greater(t, got.after, got.before-0.02, "after half of the daemons restart")
		})
	}
}

// TestPolicyTable logs how the policies and their variants compare when -route.table is set.
func TestPolicyTable(t *testing.T) {
	p := PrefixAware{RecomputeWeight: *weightFlag, TieTolerance: *slackFlag}
	cases := []struct {
		name string
		set  func(*trial)
	}{
		{"random", func(tr *trial) { tr.policy = Random{} }},
		{"roundRobin", func(tr *trial) { tr.policy = &RoundRobin{} }},
		{"leastLoad", func(tr *trial) { tr.policy = LeastLoad{} }},
		{"prefix", func(tr *trial) { tr.policy = p }},
		{"prefix-steered", func(tr *trial) { tr.policy, tr.steered = p, 2 }},
		{"prefix-silent", func(tr *trial) { tr.policy, tr.silent = p, true }},
		{"prefix-alike-silent", func(tr *trial) { tr.policy, tr.alike, tr.silent = p, true, true }},
		{"prefix-alike", func(tr *trial) { tr.policy, tr.alike = p, true }},
		{"prefix-cold", func(tr *trial) { tr.policy, tr.cold = p, true }},
		{"prefix-unfair", func(tr *trial) { tr.policy, tr.unfair = p, true }},
		{"leastLoad-flood", func(tr *trial) { tr.policy, tr.flood = LeastLoad{}, true }},
		{"prefix-flood", func(tr *trial) { tr.policy, tr.flood = p, true }},
		{"prefix-flood-unfair", func(tr *trial) { tr.policy, tr.flood, tr.unfair = p, true, true }},
		{"prefix-crash", func(tr *trial) { tr.policy, tr.crash = p, true }},
		{"omniscient", func(tr *trial) { tr.policy, tr.omniscient = p, true }},
	}
	if !*tableFlag {
		cases = nil
	}
	for _, name := range sortedProfiles() {
		for _, c := range cases {
			tr := profiles[name]
			c.set(&tr)
			if *loadFlag > 0 {
				tr.perEngine = *loadFlag
			}
			t.Logf("%s %-19s %s", name, c.name, tr.measure(t, *seedsFlag))
		}
	}
}

func sortedProfiles() []string { return slices.Sorted(maps.Keys(profiles)) }
