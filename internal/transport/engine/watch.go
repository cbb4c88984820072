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

// Watch implements extern.Engine. It blocks until the stream breaks, no bytes arrive for WatchTimeout, or ctx ends, and
// returns an *extern.UpstreamError, of kind UpstreamTimeout if WatchTimeout or a deadline passed.
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

// watch reads events until the stream fails. It calls onData whenever bytes arrive.
func (c *Client) watch(ctx context.Context, baseURL string, from extern.EnginePosition, sink extern.EngineSink, onData func()) error {
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
		return statusError("", resp)
	}
	r := bufio.NewReader(&activityReader{Reader: resp.Body, onData: onData})
	for {
		data, err := readEvent(r, maxEventBytes)
		if err != nil {
			return readError("", err)
		}
		if err := dispatchEvent(data, sink); err != nil {
			return &extern.UpstreamError{Kind: extern.UpstreamBroken, Err: err}
		}
	}
}

// activityReader calls onData whenever bytes arrive.
type activityReader struct {
	io.Reader
	onData func()
}

func (r *activityReader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	if n > 0 {
		r.onData()
	}
	return n, err
}

// dispatchEvent decodes one event and passes it to the sink. The error is a *FormatError.
func dispatchEvent(data []byte, sink extern.EngineSink) error {
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
		dispatchLoadReport(e.Load, sink)
	}
	return nil
}

// dispatchLoadReport passes a load report to the sink, with its lag limited to 0..maxReportLag. A report with negative
// counts is logged and dropped; it does not end the stream, because the cache events remain valid.
func dispatchLoadReport(r *LoadReport, sink extern.EngineSink) {
	if r.WaitingRequests < 0 || r.RunningRequests < 0 || r.QueuedTokens < 0 {
		klog.InfoS("Load report with negative counts ignored", "incarnation", r.Incarnation,
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
