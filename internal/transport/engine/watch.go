package engine

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"k8s.io/klog/v2"

	"github.com/gooseberryway/gooseberryway/internal/state/extern"
	"github.com/gooseberryway/gooseberryway/internal/transport/httpc"
)

// Watch implements extern.Engine. It returns an *extern.UpstreamError when the stream breaks, is silent for
// WatchTimeout, or ctx ends.
func (c *Client) Watch(ctx context.Context, baseURL string, from extern.EnginePosition, sink extern.EngineSink) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	timeout := c.WatchTimeout
	if timeout <= 0 {
		timeout = defaultWatchTimeout
	}
	watchdog := time.AfterFunc(timeout, func() { cancel(context.DeadlineExceeded) })
	defer watchdog.Stop()
	err := c.watch(ctx, baseURL, from, sink, func() { watchdog.Reset(timeout) })
	if errors.Is(context.Cause(ctx), context.DeadlineExceeded) {
		return &extern.UpstreamError{Kind: extern.UpstreamTimeout, Err: err}
	}
	return err
}

// watch calls alive whenever bytes come.
func (c *Client) watch(ctx context.Context, baseURL string, from extern.EnginePosition, sink extern.EngineSink, alive func()) error {
	target := fmt.Sprintf("%s/v1/events?incarnation=%d&after=%d", baseURL, from.Incarnation, from.Sequence)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, target, http.NoBody)
	if err != nil {
		return &extern.UpstreamError{Kind: extern.UpstreamRejected, NotRun: true, Err: err}
	}
	c.authorise(req, baseURL)
	resp, err := c.Pool.Do(req)
	if err != nil {
		return httpc.AsUpstreamError("", err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return statusFailure("", resp)
	}
	r := bufio.NewReader(&watchedReader{Reader: resp.Body, alive: alive})
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

// watchedReader calls alive whenever bytes come.
type watchedReader struct {
	io.Reader
	alive func()
}

func (r *watchedReader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	if n > 0 {
		r.alive()
	}
	return n, err
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
		deliverLoad(e.Load, sink)
	}
	return nil
}

// deliverLoad passes on a report whose figures are possible. Another one is left out, since the cache events of the
// same stream are still of use.
func deliverLoad(r *LoadReport, sink extern.EngineSink) {
	if r.WaitingRequests < 0 || r.RunningRequests < 0 || r.QueuedTokens < 0 {
		klog.InfoS("Load report has negative figures", "incarnation", r.Incarnation,
			"waiting", r.WaitingRequests, "running", r.RunningRequests, "queuedTokens", r.QueuedTokens)
		return
	}
	lagMs := min(max(r.LagMs, 0), float64(maxReportLag.Milliseconds()))
	sink.LoadReport(extern.LoadReport{
		Incarnation:     r.Incarnation,
		Lag:             time.Duration(lagMs * float64(time.Millisecond)),
		WaitingRequests: r.WaitingRequests,
		RunningRequests: r.RunningRequests,
		QueuedTokens:    r.QueuedTokens,
		Versions:        r.Versions,
	})
}
