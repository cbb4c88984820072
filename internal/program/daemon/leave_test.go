package daemon

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/gooseberryway/gooseberryway/internal/coordination/serve"
	"github.com/gooseberryway/gooseberryway/internal/state/config"
	"github.com/gooseberryway/gooseberryway/internal/state/guard"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

type validLease struct{}

func (validLease) Valid() bool { return true }

// startOpenRequest returns components with one open request.
func startOpenRequest(t *testing.T) (*components, *serve.PlainRun) {
	t.Helper()
	st := config.NewState()
	for _, e := range []config.Entity{
		&config.Upstream{ID: "p1", Kind: config.UpstreamPlain, BaseURL: "http://127.0.0.1:2"},
		&config.Route{ID: "visits", Team: "alder", Kind: config.RoutePlain, PathPrefix: "/visits", Open: true,
			Upstreams: []ident.UpstreamID{"p1"}, OnKeyWithdrawal: config.WithdrawalFinish},
	} {
		next, err := st.Apply(st.Offset()+1, config.NewRecord(ident.RecordID("r"+string(config.PathOf(e))), "operator", 0, e))
		require.NoError(t, err)
		st = next
	}
	c := &components{service: &serve.Service{
		State: func() *config.State { return st }, Lease: validLease{}, Ready: func() bool { return true },
		RequestTimeout: time.Minute,
	}}
	run, err := c.service.StartPlain(context.Background(), &serve.PlainRequest{RequestID: "q1", Method: "GET", Path: "/visits"})
	require.NoError(t, err)
	return c, run
}

// Guards against a drain that cuts open requests or waits for the whole timeout after they have ended.
func TestDrainWaitsForOpenRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, run := startOpenRequest(t)
		time.AfterFunc(time.Second, run.Close)
		began := time.Now()
		c.waitForRequests(time.Minute)
		require.Zero(t, c.service.OpenRequests())
		require.Less(t, time.Since(began), time.Minute)
	})
}

// Guards against a shutdown that cuts a request at the drain timeout without reporting it.
func TestShutdownThatCutsRequestViolatesInvariant(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var violations []guard.Invariant
		defer guard.Capture(func(v *guard.ViolationError) { violations = append(violations, v.Invariant) })()
		c, run := startOpenRequest(t)
		defer run.Close()
		c.waitForRequests(time.Second)
		require.Equal(t, []guard.Invariant{guard.ShutdownClean}, violations)
	})
}
