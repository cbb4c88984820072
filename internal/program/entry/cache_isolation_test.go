package entry

import (
	"fmt"
	"net/http"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/gooseberryway/gooseberryway/platform/standin"
)

const cacheSaltKey = "X-Gooseberryway-Cache-Salt"

// configureIsolation publishes a configuration with the organisations crew and audit, of which those named are isolated.
func (f *testFleet) configureIsolation(version int, isolated ...string) {
	var organisations []any
	for _, name := range []string{"crew", "audit"} {
		organisations = append(organisations, map[string]any{
			"name": name, "keys": []string{"key-" + name}, "unit": "tokens", "requests-per-s": 1_000_000, "burst": 1_000_000,
			"isolated": slices.Contains(isolated, name),
		})
	}
	f.store.Put("keyed.op", "config", map[string]any{
		"version": version,
		"routes": []any{map[string]any{
			"name": "note", "host": "h.example", "path-prefix": "/note/", "kind": "streaming", "timeout-ms": 4000,
			"target-latency-ms": 300, "attempts": 3, "service": "llm", "resumable": true,
		}},
		"services": []any{map[string]any{"name": "llm", "engine": map[string]any{"slots": 8, "models": []any{map[string]any{"name": "m"}}}}},
		"tenants":  organisations,
	})
	f.eventually(func() bool {
		for _, d := range f.daemons {
			if c := d.snapshots.Config(); c == nil || c.Version != int64(version) {
				return false
			}
		}
		return true
	}, "the configuration isn't applied")
}

// Guards against requests that use parts of prompts that an organisation made before it was isolated, on any daemon, also one that
// starts later.
func TestPartsOfOrganisationThatIsIsolatedLaterAreNotShared(t *testing.T) {
	f := newTestFleet(t)
	engine := f.startUpstream("llm", &standin.Upstream{ID: "e1", Model: "m", Version: 1, EventCount: 1})
	f.start("d1", nil)
	f.start("d2", nil)
	f.configureIsolation(1)
	f.ready(1)
	sent := 0
	// salt returns the salt under which an organisation's request runs, which is the same from all daemons.
	salt := func(organisation string) string {
		var salts []string
		for _, d := range f.daemons {
			sent++
			resp := f.call(d, "/note/x", fmt.Sprint("r", sent), "key-"+organisation, fmt.Sprint(sent), modelHeader, "m")
			require.Equal(t, http.StatusOK, resp.StatusCode)
			_ = text(t, resp)
			salts = append(salts, engine.Runs()[sent-1].Header.Get(cacheSaltKey))
		}
		require.Len(t, slices.Compact(slices.Clone(salts)), 1, "the daemons' salts differ: %v", salts)
		return salts[0]
	}
	pool := salt("crew")
	require.Equal(t, pool, salt("audit"))

	f.configureIsolation(2, "crew")
	crewOnly, others := salt("crew"), salt("audit")
	require.NotContains(t, []string{pool, crewOnly}, others)
	require.NotEqual(t, pool, crewOnly)
	f.start("d3", nil)
	f.ready(1)
	require.Equal(t, others, salt("audit"))

	f.configureIsolation(3, "audit")
	require.NotContains(t, []string{pool, crewOnly, others}, salt("crew"))
	f.configureIsolation(4)
	require.Equal(t, salt("crew"), salt("audit"))
	require.NotContains(t, []string{crewOnly, others}, salt("audit"))
}

// Guards against an attempt that goes on with parts that an organisation made which has been isolated since the request arrived.
func TestAttemptAfterIsolationDoesNotUseFormerPool(t *testing.T) {
	f := newTestFleet(t)
	reached, goOn := make(chan struct{}), make(chan struct{})
	var salts []string
	intercept := func(w http.ResponseWriter, r *http.Request) bool {
		salts = append(salts, r.Header.Get(cacheSaltKey))
		if len(salts) > 1 {
			return false
		}
		w.Header().Set(requestIDKey, r.Header.Get(requestIDKey))
		w.Header().Set(signatureKey, "sig")
		w.Header().Set("Content-Type", "text/event-stream")
		_, _ = w.Write([]byte(events(1, brokenAfter, "\n")))
		_ = http.NewResponseController(w).Flush()
		close(reached)
		<-goOn
		panic(http.ErrAbortHandler)
	}
	for _, id := range []string{"e1", "e2"} {
		f.startUpstream("llm", &standin.Upstream{ID: id, Model: "m", Version: 1, EventCount: streamLength, Intercept: intercept})
	}
	d := f.start("d1", nil)
	f.configureIsolation(1)
	f.ready(2)
	done := make(chan []string)
	go func() { done <- eventIDs(t, f.call(d, "/note/x", "r1", "key-audit", "p", modelHeader, "m")) }()
	<-reached
	f.configureIsolation(2, "crew")
	close(goOn)
	require.Equal(t, wantIDs(streamLength), <-done)
	require.Len(t, salts, 2)
	require.NotEqual(t, salts[0], salts[1])
}
