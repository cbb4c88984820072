package entry

import (
	"bufio"
	"cmp"
	"context"
	"fmt"
	"io"
	"maps"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/gooseberryway/gooseberryway/internal/program/setup"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
	"github.com/gooseberryway/gooseberryway/platform/standin"
)

const (
	waitTimeout = 15 * time.Second
	waitTick    = 20 * time.Millisecond
)

// testFleet is a whole system on loopback: daemons, and stand-ins for the platform's store and the upstreams.
type testFleet struct {
	// retrySlack is the number of retries in a window that all daemons allow for; 50 if 0.
	retrySlack float64
	// graceS is the time from SIGTERM to SIGKILL in seconds; 4 if 0.
	graceS float64
	// weightsMs is the limit on replaced weights in milliseconds; 8000 if 0.
	weightsMs int64
	// evacuationMs is the time after which an evacuation binds in milliseconds.
	evacuationMs int64
	// regions maps failure domains to regions; domains holds the failure domains of daemons that aren't in z.
	regions map[ident.FailureDomain]ident.Region
	domains map[string]ident.FailureDomain
	// cuttable gives each daemon a link to the upstreams that can be cut.
	cuttable bool
	// limits, if set, changes the limits of daemons that start.
	limits func(*setup.EntryLimits)
	// serviceFields are added to the configuration of each service.
	serviceFields map[string]any
	t             *testing.T
	store         *standin.Store
	daemons       []*testDaemon
}

type testDaemon struct {
	*Daemon
	// link is nil unless the fleet is cuttable.
	link   *upstreamLink
	cancel context.CancelFunc
	done   chan struct{}
}

func newTestFleet(t *testing.T) *testFleet {
	t.Helper()
	f := &testFleet{t: t, store: standin.NewStore()}
	t.Cleanup(func() {
		var wg sync.WaitGroup
		for _, d := range f.daemons {
			wg.Go(d.stop)
		}
		wg.Wait()
		f.store.Close()
	})
	return f
}

func (f *testFleet) start(id string, faults func(*http.Request) standin.Fault) *testDaemon {
	f.t.Helper()
	return f.startOn(id, setup.EntryResources{}, faults)
}

// startOn starts a daemon on a VM with these resources. Its store calls go through faults, unless that is nil.
func (f *testFleet) startOn(id string, vm setup.EntryResources, faults func(*http.Request) standin.Fault) *testDaemon {
	f.t.Helper()
	s := &setup.Entry{
		Resources:     vm,
		DaemonID:      ident.DaemonID(id),
		FailureDomain: cmp.Or(f.domains[id], "z"),
		Regions:       f.regions,
		Listen: setup.EntryListen{
			Callers: standin.FreeAddress(), Ready: standin.FreeAddress(), Directory: standin.FreeAddress(), Peers: standin.FreeAddress(), Admin: standin.FreeAddress(),
			Metrics: standin.FreeAddress(),
		},
		Store: f.store.Serve(faults),
		Limits: setup.EntryLimits{
			GraceS: cmp.Or(f.graceS, 4), LeaseMs: 3000, Fenced: true, WeightsMs: cmp.Or(f.weightsMs, 8000), RetryShare: 0.2, RetrySlack: cmp.Or(f.retrySlack, 50), RetryWindowS: 10,
			DirectoryTTLS: 5, EvacuationMs: f.evacuationMs,
		},
	}
	if f.limits != nil {
		f.limits(&s.Limits)
	}
	ctx, cancel := context.WithCancel(f.t.Context())
	r := &testDaemon{Daemon: &Daemon{Settings: s}, cancel: cancel, done: make(chan struct{})}
	if f.cuttable {
		r.link = newUpstreamLink()
		r.dialUpstream = r.link.dial
	}
	go func() {
		defer close(r.done)
		if err := r.Run(ctx); err != nil {
			f.t.Errorf("daemon %s: %v", id, err)
		}
	}()
	f.daemons = append(f.daemons, r)
	return r
}

func (r *testDaemon) stop() {
	r.cancel()
	<-r.done
}

// configure publishes a configuration with four routes: a stream, a resumable stream, a non-idempotent one and an
// idempotent one.
func (f *testFleet) configure(version int, keys ...string) { f.configureRate(version, 10000, keys...) }

// configureRate does the same with a rate limit of so many tokens a second, and as many as burst, for the
// organisation.
func (f *testFleet) configureRate(version, rate int, keys ...string) {
	route := func(name, kind, service string, attempts int, resumable bool) map[string]any {
		return map[string]any{
			"name": name, "host": "h.example", "path-prefix": "/" + name + "/", "kind": kind, "timeout-ms": 4000,
			"target-latency-ms": 300, "attempts": attempts, "service": service, "resumable": resumable,
		}
	}
	llm := map[string]any{"name": "llm", "engine": map[string]any{"slots": 8, "models": []any{map[string]any{"name": "m"}}}}
	app := map[string]any{"name": "app"}
	maps.Copy(llm, f.serviceFields)
	maps.Copy(app, f.serviceFields)
	f.store.Put("keyed.op", "config", map[string]any{
		"version": version,
		"routes": []any{
			route("draft", "streaming", "llm", 1, false), route("note", "streaming", "llm", 2, true),
			route("order", "non_idempotent", "app", 1, false), route("lookup", "idempotent", "app", 2, false),
		},
		"services": []any{llm, app},
		"tenants": []any{map[string]any{
			"name": "acme", "keys": keys, "unit": "tokens", "requests-per-s": rate, "burst": rate, "uncached-tokens": 10,
		}},
	})
}

func (f *testFleet) startUpstream(service string, w *standin.Upstream) *standin.Upstream {
	f.t.Helper()
	address := w.Start()
	f.t.Cleanup(w.Close)
	f.store.Put("keyed.servers", w.ID, w.Registration(service, address, "ready"))
	return w
}

// ready waits until the daemons are ready and know each other and the upstreams.
func (f *testFleet) ready(upstreams int) {
	f.t.Helper()
	f.eventually(func() bool {
		for _, d := range f.daemons {
			<-d.Listening()
			if !d.ready() || d.table.AliveCount() != len(f.daemons) || len(d.snapshots.Upstreams().ByID) != upstreams {
				return false
			}
		}
		return true
	}, "the fleet is not ready")
}

func (f *testFleet) eventually(ok func() bool, message string) {
	f.t.Helper()
	require.Eventually(f.t, ok, waitTimeout, waitTick, message)
}

// call sends a request to a daemon. headers are alternating names and values.
func (f *testFleet) call(d *testDaemon, path, id, key, body string, headers ...string) *http.Response {
	f.t.Helper()
	resp, err := http.DefaultClient.Do(f.request(f.t.Context(), d, path, id, key, body, headers...))
	require.NoError(f.t, err)
	f.t.Cleanup(func() { _ = resp.Body.Close() })
	return resp
}

// request returns a request to a daemon. headers are alternating names and values.
func (f *testFleet) request(ctx context.Context, d *testDaemon, path, id, key, body string, headers ...string) *http.Request {
	f.t.Helper()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+d.Settings.Listen.Callers+path, strings.NewReader(body))
	require.NoError(f.t, err)
	req.Host = "h.example"
	req.Header.Set("X-Gooseberryway-Attempt-Id", id)
	req.Header.Set("X-Gooseberryway-Deadline-Milliseconds", "4000")
	req.Header.Set("Authorization", "Bearer "+key)
	for i := 0; i+1 < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	return req
}

func text(t *testing.T, resp *http.Response) string {
	t.Helper()
	raw, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	return string(raw)
}

// bodyOf returns what arrives of a response's body.
func bodyOf(resp *http.Response) string {
	raw, _ := io.ReadAll(resp.Body)
	return string(raw)
}

// eventIDs reads a whole stream and returns the IDs of its events.
func eventIDs(t *testing.T, resp *http.Response) []string {
	t.Helper()
	var ids []string
	scanner := bufio.NewScanner(resp.Body)
	for scanner.Scan() {
		if id, ok := strings.CutPrefix(scanner.Text(), "id: "); ok {
			ids = append(ids, id)
		}
	}
	require.NoError(t, scanner.Err())
	return ids
}

func wantIDs(n int) []string {
	out := make([]string, 0, n)
	for i := 1; i <= n; i++ {
		out = append(out, fmt.Sprint(i))
	}
	return out
}
