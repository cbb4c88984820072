package entry

import (
	"context"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against connections that are opened to look for another upstream though no retry may follow.
func TestNoUpstreamIsProbedWithoutRetryBudget(t *testing.T) {
	f := newTestFleet(t)
	f.configureRate(1, 1_000_000, "secret")
	f.startUpstream("app", quietUpstream("w1", "", 0, silentFor))
	d := f.start("d1", nil)
	f.ready(1)
	f.startUpstream("app", quietUpstream("w2", "", 0, silentFor))
	f.ready(2)
	for budget := d.handler.RetryBudgets.Of("app"); budget.TryWithdraw(); {
	}
	var probes atomic.Int64
	connect := d.handler.CanConnect
	d.handler.CanConnect = func(ctx context.Context, address string) bool {
		probes.Add(1)
		return connect(ctx, address)
	}
	requireWholeAnswer(t, f.call(d, "/lookup/x", "r1", "secret", "p"))
	require.Zero(t, probes.Load())
}
