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

// openCall returns parts that serve one call, which has begun.
func openCall(t *testing.T) (*parts, *serve.PlainRun) {
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
	p := &parts{service: &serve.Service{
		State: func() *config.State { return st }, Lease: validLease{}, Ready: func() bool { return true },
		RequestTimeout: time.Minute,
	}}
	run, err := p.service.StartPlain(context.Background(), &serve.PlainRequest{RequestID: "q1", Method: "GET", Path: "/visits"})
	require.NoError(t, err)
	return p, run
}

func TestFinishWaitsForOpenRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p, run := openCall(t)
		time.AfterFunc(time.Second, run.Close)
		began := time.Now()
		p.finish(time.Minute)
		require.Zero(t, p.service.OpenRequests())
		require.Less(t, time.Since(began), time.Minute)
	})
}

func TestAShutdownThatCutsARequestIsAViolation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var seen []guard.Invariant
		defer guard.Capture(func(v *guard.ViolationError) { seen = append(seen, v.Invariant) })()
		p, run := openCall(t)
		defer run.Close()
		p.finish(time.Second)
		require.Equal(t, []guard.Invariant{guard.ShutdownClean}, seen)
	})
}
