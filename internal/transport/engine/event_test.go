package engine

import (
	"errors"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/gooseberryway/gooseberryway/internal/state/extern"
)

// checking takes in events and fails the test on figures that no engine can mean.
type checking struct{ t *testing.T }

func (checking) CacheEvent(extern.CacheEvent) {}

func (c checking) LoadReport(r extern.LoadReport) {
	if r.Lag < 0 || r.QueuedTokens < 0 || r.WaitingRequests < 0 || r.RunningRequests < 0 {
		c.t.Fatalf("an impossible report is passed on: %+v", r)
	}
}

// FuzzDeliver reads any bytes as an event of an engine.
func FuzzDeliver(f *testing.F) {
	f.Add([]byte(`{"cache":{"incarnation":1,"sequence":2,"resync":true,"added":[1,2]}}`))
	f.Add([]byte(`{"load":{"incarnation":1,"lagMs":20.5,"waitingRequests":1,"queuedTokens":4096,"versions":["v1"]}}`))
	f.Add([]byte(`{"load":{"lagMs":-1e300,"queuedTokens":-5}}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		err := deliver(data, checking{t})
		var format *FormatError
		if err != nil && !errors.As(err, &format) {
			t.Fatalf("untyped error %T", err)
		}
	})
}

func TestAnImpossibleReportCostsNoCacheEvent(t *testing.T) {
	sink := &counting{}
	require.NoError(t, deliver([]byte(`{"cache":{"sequence":1},"load":{"queuedTokens":-1}}`), sink))
	require.NoError(t, deliver([]byte(`{"load":{"lagMs":1e300,"queuedTokens":1}}`), sink))
	require.NoError(t, deliver([]byte(`{"load":{"lagMs":-20}}`), sink))
	require.Equal(t, &counting{events: 1, lags: []time.Duration{maxReportLag, 0}}, sink)
}

// counting keeps what it takes in.
type counting struct {
	events int
	lags   []time.Duration
}

func (c *counting) CacheEvent(extern.CacheEvent) { c.events++ }

func (c *counting) LoadReport(r extern.LoadReport) { c.lags = append(c.lags, r.Lag) }
