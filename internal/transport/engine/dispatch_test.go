package engine

import (
	"errors"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/gooseberryway/gooseberryway/internal/state/extern"
)

// checkingSink fails the test on a load report with a negative lag or count.
type checkingSink struct{ t *testing.T }

func (checkingSink) CacheEvent(extern.CacheEvent) {}

func (c checkingSink) LoadReport(r extern.LoadReport) {
	if r.Lag < 0 || r.QueuedTokens < 0 || r.WaitingRequests < 0 || r.RunningRequests < 0 {
		c.t.Fatalf("load report with negative values passed to the sink: %+v", r)
	}
}

// FuzzDeliver checks that any input yields events with valid values or a *FormatError.
func FuzzDeliver(f *testing.F) {
	f.Add([]byte(`{"cache":{"incarnation":1,"sequence":2,"resync":true,"added":[1,2]}}`))
	f.Add([]byte(`{"load":{"incarnation":1,"lagMs":20.5,"waitingRequests":1,"queuedTokens":4096,"versions":["v1"]}}`))
	f.Add([]byte(`{"load":{"lagMs":-1e300,"queuedTokens":-5}}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		err := dispatchEvent(data, checkingSink{t})
		var format *FormatError
		if err != nil && !errors.As(err, &format) {
			t.Fatalf("untyped error %T", err)
		}
	})
}

// A load report with a negative count must be dropped, but not the cache event in the same message. A lag out of range must
// be limited.
func TestInvalidLoadReportKeepsCacheEvent(t *testing.T) {
	sink := &recordingSink{}
	require.NoError(t, dispatchEvent([]byte(`{"cache":{"sequence":1},"load":{"queuedTokens":-1}}`), sink))
	require.NoError(t, dispatchEvent([]byte(`{"load":{"lagMs":1e300,"queuedTokens":1}}`), sink))
	require.NoError(t, dispatchEvent([]byte(`{"load":{"lagMs":-20}}`), sink))
	require.Equal(t, &recordingSink{cacheEvents: 1, lags: []time.Duration{maxReportLag, 0}}, sink)
}

// recordingSink counts the cache events and keeps the lags of the load reports.
type recordingSink struct {
	cacheEvents int
	lags        []time.Duration
}

func (c *recordingSink) CacheEvent(extern.CacheEvent) { c.cacheEvents++ }

func (c *recordingSink) LoadReport(r extern.LoadReport) { c.lags = append(c.lags, r.Lag) }
