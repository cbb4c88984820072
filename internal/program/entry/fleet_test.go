package entry

import (
	"bufio"
	"context"
	"fmt"
	"io"
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
	waitMost = 15 * time.Second
	waitTick = 20 * time.Millisecond
)

// rig is a whole system on loopback over the stand-ins of the platform.
type rig struct {
	t       *testing.T
	store   *standin.Store
	daemons []*running
}

type running struct {
	*Daemon
	cancel context.CancelFunc
	done   chan struct{}
}

func newRig(t *testing.T) *rig {
	t.Helper()
	f := &rig{t: t, store: standin.NewStore()}
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

func (f *rig) start(id string, faults func(*http.Request) standin.Fault) *running {
	f.t.Helper()
	return f.startOn(id, setup.EntryResources{}, faults)
}

// startOn starts a daemon on a VM with these resources.
func (f *rig) startOn(id string, vm setup.EntryResources, faults func(*http.Request) standin.Fault) *running {
	f.t.Helper()
	s := &setup.Entry{
		Resources:     vm,
		DaemonID:      ident.DaemonID(id),
		FailureDomain: "z",
		Listen: setup.EntryListen{
			Callers: standin.FreeAddress(), Ready: standin.FreeAddress(), Directory: standin.FreeAddress(), Peers: standin.FreeAddress(), Admin: standin.FreeAddress(),
		},
		Store: f.store.Serve(faults),
		Limits: setup.EntryLimits{
			GraceS: 4, LeaseMs: 3000, Fenced: true, WeightsMs: 8000, RetryShare: 0.2, RetrySlack: 50, RetryWindowS: 10,
			DirectoryTTLS: 5,
		},
	}
	ctx, cancel := context.WithCancel(f.t.Context())
	r := &running{Daemon: &Daemon{Settings: s}, cancel: cancel, done: make(chan struct{})}
	go func() {
		defer close(r.done)
		if err := r.Run(ctx); err != nil {
			f.t.Errorf("daemon %s: %v", id, err)
		}
	}()
	f.daemons = append(f.daemons, r)
	return r
}

func (r *running) stop() {
	r.cancel()
	<-r.done
}

// configure writes a configuration with one stream route, one resumable one, one for calls that run once and one for
// calls that may be repeated.
func (f *rig) configure(version int, keys ...string) { f.configureRate(version, 10000, keys...) }

// configureRate publishes a configuration whose organisation has a rate and burst of so many tokens.
func (f *rig) configureRate(version, rate int, keys ...string) {
	route := func(name, kind, service string, attempts int, resumable bool) map[string]any {
		return map[string]any{
			"name": name, "host": "h.example", "path-prefix": "/" + name + "/", "kind": kind, "timeout-ms": 4000,
			"target-latency-ms": 300, "attempts": attempts, "service": service, "resumable": resumable,
		}
	}
	f.store.Put("keyed.op", "config", map[string]any{
		"version": version,
		"routes": []any{
			route("draft", "streaming", "llm", 1, false), route("note", "streaming", "llm", 2, true),
			route("order", "non_idempotent", "app", 1, false), route("lookup", "idempotent", "app", 2, false),
		},
		"services": []any{
			map[string]any{"name": "llm", "engine": map[string]any{"slots": 8, "models": []any{map[string]any{"name": "m"}}}},
			map[string]any{"name": "app"},
		},
		"tenants": []any{map[string]any{
			"name": "acme", "keys": keys, "unit": "tokens", "requests-per-s": rate, "burst": rate, "uncached-tokens": 10,
		}},
	})
}

func (f *rig) worker(service string, w *standin.Upstream) *standin.Upstream {
	f.t.Helper()
	address := w.Start()
	f.t.Cleanup(w.Close)
	f.store.Put("keyed.servers", w.ID, w.Registration(service, address, "ready"))
	return w
}

// ready waits until the daemons are ready and know each other and the upstreams.
func (f *rig) ready(upstreams int) {
	f.t.Helper()
	f.eventually(func() bool {
		for _, d := range f.daemons {
			<-d.Listening()
			if !d.ready() || d.table.AliveCount() != len(f.daemons) || len(d.board.Upstreams().ByID) != upstreams {
				return false
			}
		}
		return true
	}, "the fleet is not ready")
}

func (f *rig) eventually(ok func() bool, message string) {
	f.t.Helper()
	require.Eventually(f.t, ok, waitMost, waitTick, message)
}

// call sends a request to a daemon. The headers come in pairs.
func (f *rig) call(d *running, path, id, key, body string, headers ...string) *http.Response {
	f.t.Helper()
	req, err := http.NewRequestWithContext(f.t.Context(), http.MethodPost, "http://"+d.Settings.Listen.Callers+path, strings.NewReader(body))
	require.NoError(f.t, err)
	req.Host = "h.example"
	req.Header.Set("X-Gooseberryway-Attempt-Id", id)
	req.Header.Set("X-Gooseberryway-Deadline-Milliseconds", "4000")
	req.Header.Set("Authorization", "Bearer "+key)
	for i := 0; i+1 < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	resp, err := http.DefaultClient.Do(req)
	require.NoError(f.t, err)
	f.t.Cleanup(func() { _ = resp.Body.Close() })
	return resp
}

func text(t *testing.T, resp *http.Response) string {
	t.Helper()
	raw, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	return string(raw)
}

// eventIDs reads a whole stream.
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
