package soak

import (
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/gooseberryway/gooseberryway/internal/state/scope"
	"github.com/gooseberryway/gooseberryway/platform/standin"
)

const (
	versionDaemons = 6
	versionEngines = 18
	versionCallers = 320
	// slowEngines is how many of the engines turn slow, hangingShare what part of them hangs.
	slowEngines  = 4
	hangingShare = 3
	// stabilityWindow is how long a daemon has to run undisturbed to count as in touch.
	stabilityWindow = 3 * time.Second
	// outage is how long killed daemons are away.
	outage                = 2 * time.Second
	defaultVersionSeconds = 24
)

// versionRun plays versions in series at engines that queue, are slow and hang, while daemons end.
type versionRun struct {
	*checker
	*cluster
	engines []*engine
	// acknowledged holds when the store had each version, from version 1 on.
	acknowledged []time.Time
}

type engine struct {
	*standin.QueueingEngine
	disturbances
}

// Guards against requests that get their first token on weights that were replaced longer ago than the limit, as they wait at an engine. SOAK_SEED,
// SOAK_SEEDS, SOAK_SECONDS, SOAK_DAEMONS and SOAK_FROM choose what is played.
func TestRequestsBeginOnReplacedWeightsWithinLimit(t *testing.T) {
	binary := buildBinary(t)
	older := buildOlder(t)
	for _, seed := range versionSeeds() {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { runVersionSeed(t, binary, older, seed) })
	}
}

func versionSeeds() []uint64 {
	first, n := uint64(1), 2
	if v, err := strconv.ParseUint(os.Getenv("SOAK_SEED"), 10, 64); err == nil {
		first = v
	}
	if v, err := strconv.Atoi(os.Getenv("SOAK_SEEDS")); err == nil && v > 0 {
		n = v
	}
	var out []uint64
	for i := range n {
		out = append(out, first+uint64(i))
	}
	return out
}

func runVersionSeed(t *testing.T, binary, older string, seed uint64) {
	t.Helper()
	v := newVersionRun(t, cmp.Or(older, binary), seed)
	t.Cleanup(func() { v.keepLogsOnFailure(seed) })
	v.waitReady()
	seconds := defaultVersionSeconds
	if n, err := strconv.Atoi(os.Getenv("SOAK_SECONDS")); err == nil && n > 0 {
		seconds = n
	}
	ctx, cancel := context.WithTimeout(t.Context(), time.Duration(seconds)*time.Second)
	defer cancel()
	rng := func(n uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, n)) }
	var wg sync.WaitGroup
	for i := range versionCallers {
		wg.Go(func() { v.runVersionCaller(ctx, rng(uint64(10+i))) })
	}
	wg.Go(func() { v.nameVersions(ctx, rng(1)) })
	wg.Go(func() { v.disturbEngines(ctx, rng(2), seed) })
	switch {
	case older != "":
		wg.Go(func() { v.upgrade(ctx, binary, time.Duration(seconds)*time.Second) })
	case seed%4 != 1:
		wg.Go(func() { v.endDaemons(ctx, rng(3)) })
	}
	wg.Wait()
	v.waitReady()
	v.checkVersions()
}

func newVersionRun(t *testing.T, binary string, seed uint64) *versionRun {
	t.Helper()
	v := &versionRun{checker: &checker{t: t, seed: seed}, cluster: startStore(t, binary, 6*time.Second)}
	v.acknowledged = append(v.acknowledged, time.Now())
	app := &standin.Upstream{ID: "app-0"}
	address := app.Start()
	t.Cleanup(app.Close)
	v.store.Put("keyed.servers", app.ID, app.Registration("app", address, "ready"))
	for i := range versionEngines {
		e := &engine{QueueingEngine: &standin.QueueingEngine{
			ID: fmt.Sprint("llm-", i), Address: standin.FreeAddress(), Model: "m", Slots: 8, LoadTime: 300 * time.Millisecond,
			Rand: rand.New(rand.NewPCG(seed, uint64(4000+i))),
		}}
		require.NoError(t, e.Start())
		t.Cleanup(e.Close)
		v.engines = append(v.engines, e)
		v.store.Put("keyed.servers", e.ID, e.Registration("llm", e.Address))
	}
	daemons := versionDaemons
	if n, err := strconv.Atoi(os.Getenv("SOAK_DAEMONS")); err == nil && n > 0 {
		daemons = n
	}
	for i := range daemons {
		v.addDaemon(fmt.Sprint("d", i), false)
	}
	return v
}

// runVersionCaller sends generations, half of which may be resumed.
func (v *versionRun) runVersionCaller(ctx context.Context, rng *rand.Rand) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2}, Timeout: 7 * time.Second}
	defer client.CloseIdleConnections()
	for n := 0; ctx.Err() == nil; n++ {
		p := v.processes[rng.IntN(len(v.processes))]
		id := fmt.Sprintf("%d-%d-%d", v.seed, rng.Uint32(), n)
		v.sendRequest(client, p, [...]string{"note", "draft"}[rng.IntN(2)], id, "key-a", rng.IntN(20) == 0)
		scope.Sleep(ctx, time.Duration(rng.IntN(800))*time.Millisecond)
	}
}

// nameVersions names versions in series, with pauses that outlast the limit.
func (v *versionRun) nameVersions(ctx context.Context, rng *rand.Rand) {
	for scope.Sleep(ctx, time.Duration(2200+rng.IntN(1200))*time.Millisecond) {
		v.store.Put("keyed.op", "version/m", map[string]any{"model": "m", "version": 1 + len(v.acknowledged)})
		v.acknowledged = append(v.acknowledged, time.Now())
		if rng.IntN(4) == 0 {
			scope.Sleep(ctx, v.weightsLimit)
		}
	}
}

// disturbEngines lets some engines turn slow and others hang, as the seed says.
func (v *versionRun) disturbEngines(ctx context.Context, rng *rand.Rand, seed uint64) {
	factor, first := 12+8*rng.Float64(), rng.IntN(len(v.engines))
	var wg sync.WaitGroup
	defer wg.Wait()
	scope.Sleep(ctx, time.Duration(rng.IntN(3000))*time.Millisecond)
	if seed%4 != 3 {
		for i := range slowEngines {
			v.engines[(first+i)%len(v.engines)].SetSlow(factor)
		}
	}
	if seed%4 < 2 {
		return
	}
	for ctx.Err() == nil {
		for i := range len(v.engines) / hangingShare {
			e, d := v.engines[(first+slowEngines+i)%len(v.engines)], time.Duration(1000+rng.IntN(3000))*time.Millisecond
			wg.Go(func() { e.disturb(func() { e.Hang(d) }) })
		}
		scope.Sleep(ctx, time.Duration(6000+rng.IntN(4000))*time.Millisecond)
		first = rng.IntN(len(v.engines))
		wg.Wait()
	}
}

// endDaemons kills half of the daemons, the other half, and all together, in turn.
func (v *versionRun) endDaemons(ctx context.Context, rng *rand.Rand) {
	half := len(v.processes) / 2
	for scope.Sleep(ctx, time.Duration(4000+rng.IntN(4000))*time.Millisecond) {
		v.killAll(v.processes[:half])
		if rng.IntN(2) == 0 {
			v.killAll(v.processes[half:])
		}
		scope.Sleep(ctx, time.Duration(3000+rng.IntN(9000))*time.Millisecond)
		v.killAll(v.processes)
	}
}

// killAll kills processes and starts them again after outage.
func (v *versionRun) killAll(processes []*process) {
	for _, p := range processes {
		p.signal(syscall.SIGKILL)
	}
	time.Sleep(outage)
	for _, p := range processes {
		v.startDaemon(p)
	}
}

// checkVersions judges the first token of each run.
func (v *versionRun) checkVersions() {
	runs := map[string][]run{}
	late, old, latest := 0, 0, time.Duration(0)
	for _, e := range v.engines {
		for _, x := range e.Executions() {
			runs[x.ID] = append(runs[x.ID], run{x, &e.disturbances})
			if int(x.Version) >= len(v.acknowledged) || x.FirstToken.Before(v.acknowledged[x.Version]) {
				continue
			}
			old++
			replacedFor := x.FirstToken.Sub(v.acknowledged[x.Version])
			latest = max(latest, replacedFor)
			if replacedFor <= v.weightsLimit {
				continue
			}
			late++
			sender, _ := v.senders.Load(x.ID)
			if p, ok := sender.(*process); ok && p.undisturbedAt(x.Arrived, stabilityWindow) {
				v.reportViolation("request %s of %s (older build: %t), sent at %s, began on version %d at %s %v after the next one was acknowledged",
					x.ID, p.id, p.ranOlderAt(x.Arrived), x.Arrived.Format("05.000"), x.Version, x.Upstream, replacedFor.Round(time.Millisecond))
			}
		}
	}
	v.checkRuns(runs)
	outcomes := map[int]int{}
	for _, s := range v.atMostOnceCalls {
		outcomes[s.status]++
	}
	v.cluster.t.Logf("seed %d: %d requests served, %d versions, %d first tokens on replaced weights, %d of them after the limit, the latest %v after; calls that may run once by status: %v",
		v.seed, v.served.Load(), len(v.acknowledged), old, late, latest.Round(time.Millisecond), outcomes)
}
