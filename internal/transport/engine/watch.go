package engine

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/gooseberryway/gooseberryway/internal/state/extern"
	"github.com/gooseberryway/gooseberryway/internal/transport/httpc"
)

// Watch implements extern.Engine. It returns an *extern.UpstreamError when the stream breaks or ctx ends.
func (c *Client) Watch(ctx context.Context, baseURL string, from extern.EnginePosition, sink extern.EngineSink) error {
	target := fmt.Sprintf("%s/v1/events?incarnation=%d&after=%d", baseURL, from.Incarnation, from.Sequence)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, target, http.NoBody)
	if err != nil {
		return &extern.UpstreamError{Kind: extern.UpstreamRejected, NotRun: true, Err: err}
	}
	c.authorise(req, baseURL)
	resp, err := c.Pool.Do(req)
	if err != nil {
		return httpc.SendFailure("", err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return statusFailure("", resp)
	}
	r := bufio.NewReader(resp.Body)
	for {
		data, err := readEvent(r, maxEventBytes)
		if err != nil {
			return readFailure("", err)
		}
		if err := deliver(data, sink); err != nil {
			return &extern.UpstreamError{Kind: extern.UpstreamBroken, Err: err}
		}
	}
}

func deliver(data []byte, sink extern.EngineSink) error {
	var e Event
	if err := json.Unmarshal(data, &e); err != nil {
		return &FormatError{Reason: err.Error()}
	}
	if e.Cache != nil {
		sink.CacheEvent(extern.CacheEvent{
			Position: extern.EnginePosition{Incarnation: e.Cache.Incarnation, Sequence: e.Cache.Sequence},
			Resync:   e.Cache.Resync,
			Added:    e.Cache.Added,
			Removed:  e.Cache.Removed,
		})
	}
	if e.Load != nil {
		sink.LoadReport(extern.LoadReport{
			Incarnation:     e.Load.Incarnation,
			Lag:             time.Duration(e.Load.LagMs * float64(time.Millisecond)),
			WaitingRequests: e.Load.WaitingRequests,
			RunningRequests: e.Load.RunningRequests,
			QueuedTokens:    e.Load.QueuedTokens,
			Versions:        e.Load.Versions,
		})
	}
	return nil
}
