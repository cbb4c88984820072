package entry

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/gooseberryway/gooseberryway/internal/state/ident"
	"github.com/gooseberryway/gooseberryway/platform/standin"
)

// configureHomes publishes a configuration whose routes and organisation have these homes; nil for none.
func (f *testFleet) configureHomes(version int, routes, organisation []string) {
	f.configureRate(version, 1000000, "secret")
	var c map[string]any
	require.NoError(f.t, json.Unmarshal(f.store.Newest("keyed.op", "config"), &c))
	for _, r := range c["routes"].([]any) {
		r.(map[string]any)["allowed-regions"] = routes
	}
	c["tenants"].([]any)[0].(map[string]any)["allowed-regions"] = organisation
	c["version"] = version + 1
	f.store.Put("keyed.op", "config", c)
	if len(f.daemons) > 0 {
		f.atVersion(int64(version + 1))
	}
}

func newRegionalFleet(t *testing.T) *testFleet {
	t.Helper()
	f := newTestFleet(t)
	f.regions = map[ident.FailureDomain]ident.Region{"z": "north", "y": "south"}
	f.domains = map[string]ident.FailureDomain{"d1": "y"}
	return f
}

// Guards against requests that reach upstreams outside of their homes, and against refusals that are late where no home is left.
func TestRequestsReachOnlyUpstreamsInTheirHomes(t *testing.T) {
	f := newRegionalFleet(t)
	f.configureHomes(1, nil, nil)
	near, far := f.startUpstreamIn("z", &standin.Upstream{ID: "z1"}), f.startUpstreamIn("y", &standin.Upstream{ID: "y1"})
	d := f.start("d0", nil)
	f.ready(2)
	require.Equal(t, map[int]int{200: 10}, f.lookups(10, "anywhere"))
	runs := len(near.Runs())
	require.Positive(t, runs, "the daemon prefers its own failure domain")
	f.configureHomes(3, []string{"south"}, nil)
	require.Equal(t, map[int]int{200: 10}, f.lookups(10, "route"))
	f.configureHomes(5, []string{"north", "south"}, []string{"south"})
	require.Equal(t, map[int]int{200: 10}, f.lookups(10, "both"))
	require.Len(t, near.Runs(), runs)
	f.configureHomes(7, []string{"north"}, []string{"south"})
	ran := len(far.Runs())
	started := time.Now()
	resp := f.call(d, "/order/x", "none", "secret", "")
	require.Equal(t, 503, resp.StatusCode)
	require.Less(t, time.Since(started), 100*time.Millisecond)
	require.Len(t, near.Runs(), runs)
	require.Len(t, far.Runs(), ran)
}

// Guards against another attempt, or a stream that is resumed, outside of the homes.
func TestStreamsAreResumedInTheirHomes(t *testing.T) {
	f := newRegionalFleet(t)
	f.configureHomes(1, []string{"south"}, nil)
	far := f.startUpstreamIn("z", &standin.Upstream{ID: "z1", Model: "m", Version: 1, EventCount: 4})
	for i := range 2 {
		w := &standin.Upstream{ID: fmt.Sprint("y", i), Model: "m", Version: 1, EventCount: 4}
		w.Intercept = func(rw http.ResponseWriter, r *http.Request) bool {
			if r.Header.Get("Last-Event-Id") != "" {
				return false
			}
			rw.Header().Set("X-Gooseberryway-Attempt-Id", r.Header.Get("X-Gooseberryway-Attempt-Id"))
			w.Stream(rw, r, 2)
			return true
		}
		f.startUpstreamIn("y", w)
	}
	f.start("d0", nil)
	f.ready(3)
	// The retry budget of a daemon that has just started allows for four.
	for i := range 3 {
		resp := f.call(f.daemons[0], "/note/x", fmt.Sprint("r", i), "secret", "", "X-Gooseberryway-Model", "m", "X-Gooseberryway-Token-Counts", "10,4")
		require.Equal(t, wantIDs(4), eventIDs(t, resp))
	}
	require.Empty(t, far.Runs())
}

// Guards against prompts with homes that share cached parts with others, and against salts that change where homes don't bind.
func TestPromptsWithHomesHaveSaltsOfTheirOwn(t *testing.T) {
	salts := func(regions map[ident.FailureDomain]ident.Region, homes []string) string {
		f := newTestFleet(t)
		f.regions = regions
		f.configureHomes(1, homes, nil)
		w := f.startUpstreamIn("z", &standin.Upstream{ID: "z1", Model: "m", Version: 1, EventCount: 1})
		f.start("d0", nil)
		f.ready(1)
		f.call(f.daemons[0], "/note/x", "r", "secret", "", "X-Gooseberryway-Model", "m", "X-Gooseberryway-Token-Counts", "100,1",
			"X-Gooseberryway-Prompt-Prefix", "aaaaaaaa:50,bbbbbbbb:50")
		require.Len(t, w.Runs(), 1)
		return w.Runs()[0].Header.Get("X-Gooseberryway-Cache-Salt")
	}
	regions := map[ident.FailureDomain]ident.Region{"z": "north"}
	plain := salts(nil, nil)
	require.NotEmpty(t, plain)
	require.Equal(t, plain, salts(regions, nil))
	require.Equal(t, plain, salts(nil, []string{"north"}))
	require.NotEqual(t, plain, salts(regions, []string{"north"}))
}

// Guards against callers that are sent to daemons which may not get their requests' bodies.
func TestDirectoryNamesDaemonsOfCallersRegion(t *testing.T) {
	f := newRegionalFleet(t)
	f.regions["x"] = "west"
	f.configureHomes(1, []string{"south"}, nil)
	f.startUpstreamIn("y", &standin.Upstream{ID: "y1"})
	north, south := f.start("d0", nil), f.start("d1", nil)
	f.ready(1)
	both := []*testDaemon{north, south}
	f.eventually(func() bool { return f.allResolveTo(both, both) }, "not both are active")
	named := func(d *testDaemon, region string) []string {
		return d.callerAddresses("h.example", ident.Region(region))
	}
	for _, d := range both {
		require.Equal(t, []string{north.Settings.Listen.Callers}, named(d, "north"))
		require.Equal(t, []string{south.Settings.Listen.Callers}, named(d, "south"))
		require.Equal(t, []string{south.Settings.Listen.Callers}, named(d, "west"), "no daemon is there, and this one is in the home")
	}
	f.configureHomes(3, nil, nil)
	for _, d := range both {
		addresses := named(d, "north")
		require.Len(t, addresses, 2)
		require.True(t, slices.Contains(addresses, south.Settings.Listen.Callers))
	}
}
