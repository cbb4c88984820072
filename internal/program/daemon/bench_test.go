package daemon_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"runtime"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"k8s.io/klog/v2"

	"github.com/gooseberryway/gooseberryway/internal/program/local"
	"github.com/gooseberryway/gooseberryway/internal/program/setup"
	"github.com/gooseberryway/gooseberryway/internal/state/config"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
	"github.com/gooseberryway/gooseberryway/internal/transport/engine"
)

const (
	// openStreams is the number of streams that BenchmarkAddedTime keeps open, and of concurrent clients elsewhere.
	openStreams = 64
	// tokenInterval is the time between two tokens of a paced response.
	tokenInterval = 20 * time.Millisecond
	// minPacedTokens is the output limit from which the engine paces its response.
	minPacedTokens = 10_000
	// minHeldTokens is the output limit from which the engine sends one token and then keeps the stream open.
	minHeldTokens = 1_000_000
	// maxHeldStreams is the maximum number of streams that memory is measured with.
	maxHeldStreams = 2000
)

// instantEngine is a stand-in engine that responds without delay, with one token per chunk.
type instantEngine struct{}

func (instantEngine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	rc := http.NewResponseController(w)
	if r.URL.Path == "/v1/events" {
		sendLoadReports(r.Context(), w, rc)
		return
	}
	var req engine.Request
	_ = json.NewDecoder(r.Body).Decode(&req)
	for i := range req.MaxTokens {
		if i > 0 && !waitForNextToken(r.Context(), req.MaxTokens) {
			return
		}
		_, _ = fmt.Fprintf(w, `data: {"id":%q,"choices":[{"index":0,"text":" word"}],"tokenIndex":%d,"tokenCount":1}`+"\n\n", req.RequestID, i)
		_ = rc.Flush()
	}
	_, _ = fmt.Fprintf(w, `data: {"id":%q,"choices":[{"index":0,"text":"","finish_reason":"stop"}],"tokenIndex":%d,"tokenCount":0,`+
		`"usage":{"prompt_tokens":8,"completion_tokens":%d,"cachedTokens":0}}`+"\n\ndata: [DONE]\n\n", req.RequestID, req.MaxTokens, req.MaxTokens)
}

// waitForNextToken delays the next token of a long response. It returns false if ctx has ended.
func waitForNextToken(ctx context.Context, tokens ident.Tokens) bool {
	switch {
	case tokens >= minHeldTokens:
		<-ctx.Done()
	case tokens >= minPacedTokens:
		select {
		case <-time.After(tokenInterval):
		case <-ctx.Done():
		}
	}
	return ctx.Err() == nil
}

// sendLoadReports sends the load report of an idle engine every second until ctx ends.
func sendLoadReports(ctx context.Context, w http.ResponseWriter, rc *http.ResponseController) {
	for ctx.Err() == nil {
		_, _ = io.WriteString(w, `data: {"load":{"incarnation":1,"versions":["girth-1"]}}`+"\n\n")
		_ = rc.Flush()
		select {
		case <-time.After(time.Second):
		case <-ctx.Done():
		}
	}
}

// rig is a daemon with one engine, and an HTTP client for both.
type rig struct {
	client               *http.Client
	engineURL, daemonURL string
	key                  string
}

// discardLog discards the log, whose lines would mix with the benchmark results.
func discardLog() {
	klog.LogToStderr(false)
	klog.SetOutput(io.Discard)
}

func newRig(b *testing.B) *rig {
	b.Helper()
	discardLog()
	upstream := httptest.NewServer(instantEngine{})
	system := &local.System{
		DaemonCount:    1,
		FailureDomains: []ident.FailureDomain{"riga-1"},
		Model:          "girth",
		Version:        "girth-1",
		Organisations:  []config.Organisation{{ID: "survey", Team: "alder", Rate: 1e9, Burst: 1e9}},
		Upstreams:      []config.Upstream{{ID: "instant", Kind: config.UpstreamEngine, BaseURL: upstream.URL, FailureDomain: "riga-1", Model: "girth"}},
		AdjustSettings: func(s *setup.Settings) { s.Limits.MaxStreams = 2 * maxHeldStreams },
	}
	require.NoError(b, system.Start(b.Context()))
	r := &rig{
		client:    &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: maxHeldStreams}},
		engineURL: upstream.URL + "/v1/completions",
		daemonURL: "http://" + system.Addresses()[0] + "/v1/completions",
		key:       system.Keys["survey"],
	}
	b.Cleanup(func() {
		r.client.CloseIdleConnections()
		system.Close()
		upstream.CloseClientConnections()
		upstream.Close()
	})
	require.EventuallyWithT(b, func(c *assert.CollectT) { require.NoError(c, r.doRequest(b.Context(), r.daemonURL, 1, true)) },
		10*time.Second, 20*time.Millisecond)
	return r
}

// doRequest sends a request and reads its whole response.
func (r *rig) doRequest(ctx context.Context, target string, tokens int, stream bool) error {
	resp, err := r.startRequest(ctx, target, tokens, stream)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return err
}

func (r *rig) startRequest(ctx context.Context, target string, tokens int, stream bool) (*http.Response, error) {
	body := fmt.Appendf(nil, `{"model":"girth","prompt":"is a girth of 140 cm plausible?","max_tokens":%d,"stream":%t,"seed":1,"requestId":"r1"}`, tokens, stream)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, target, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Authorization", "Bearer "+r.key)
	req.Header.Set("Content-Type", "application/json")
	resp, err := r.client.Do(req)
	if err == nil && resp.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(resp.Body)
		resp.Body.Close()
		return nil, fmt.Errorf("status %d: %s", resp.StatusCode, text)
	}
	return resp, err
}

// holdStreams opens n streams and returns a function that closes them.
func (r *rig) holdStreams(b *testing.B, target string, n, tokens int) (release func()) {
	b.Helper()
	ctx, cancel := context.WithCancel(b.Context())
	var wg sync.WaitGroup
	for range n {
		resp, err := r.startRequest(ctx, target, tokens, true)
		require.NoError(b, err)
		_, err = io.ReadFull(resp.Body, make([]byte, 16))
		require.NoError(b, err)
		wg.Go(func() {
			defer resp.Body.Close()
			_, _ = io.Copy(io.Discard, resp.Body)
		})
	}
	return func() { cancel(); wg.Wait() }
}

// BenchmarkAddedTime measures the time that the daemon adds to a request while other streams are open.
// It alternates requests sent directly to the engine with requests through the daemon.
func BenchmarkAddedTime(b *testing.B) {
	for name, stream := range map[string]bool{"streamed": true, "whole": false} {
		b.Run(name, func(b *testing.B) {
			r := newRig(b)
			defer r.holdStreams(b, r.daemonURL, openStreams, minPacedTokens)()
			var direct, proxied []time.Duration
			for b.Loop() {
				direct = append(direct, r.timeRequest(b, r.engineURL, stream))
				proxied = append(proxied, r.timeRequest(b, r.daemonURL, stream))
			}
			for _, percent := range []int{50, 99} {
				d, t := percentile(direct, percent), percentile(proxied, percent)
				b.ReportMetric(d.Seconds()*1e3, fmt.Sprintf("directP%dMs", percent))
				b.ReportMetric((t-d).Seconds()*1e3, fmt.Sprintf("addedP%dMs", percent))
			}
		})
	}
}

func (r *rig) timeRequest(b *testing.B, target string, stream bool) time.Duration {
	b.Helper()
	began := time.Now()
	if err := r.doRequest(b.Context(), target, 1, stream); err != nil {
		b.Fatal(err)
	}
	return time.Since(began)
}

func percentile(d []time.Duration, percent int) time.Duration {
	slices.Sort(d)
	return d[min(len(d)-1, len(d)*percent/100)]
}

// resourceUsage is the CPU time, the elapsed time and the number of allocations of the process.
type resourceUsage struct {
	cpu, wall time.Duration
	allocs    uint64
}

func processUsage() resourceUsage {
	var usage syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	var mem runtime.MemStats
	runtime.ReadMemStats(&mem)
	return resourceUsage{cpu: time.Duration(usage.Utime.Nano() + usage.Stime.Nano()), allocs: mem.Mallocs}
}

// BenchmarkRequests measures the CPU time and the allocations of the daemon per request: those of requests through the
// daemon minus those of as many requests directly to the engine, from openStreams concurrent clients.
func BenchmarkRequests(b *testing.B) {
	for _, bench := range []struct {
		tokens int
		stream bool
	}{{1, true}, {16, true}, {64, true}, {256, true}, {1, false}, {64, false}} {
		b.Run(fmt.Sprintf("tokens=%d/stream=%t", bench.tokens, bench.stream), func(b *testing.B) {
			r := newRig(b)
			b.ResetTimer()
			direct := r.measureRequests(b, r.engineURL, bench.tokens, bench.stream)
			proxied := r.measureRequests(b, r.daemonURL, bench.tokens, bench.stream)
			n := float64(b.N)
			cpu := (proxied.cpu - direct.cpu).Seconds() / n
			b.ReportMetric(cpu*1e6, "cpuUs/request")
			b.ReportMetric(proxied.wall.Seconds()/direct.wall.Seconds(), "wall/directWall")
			b.ReportMetric(1/cpu, "requests/s/core")
			b.ReportMetric((float64(proxied.allocs)-float64(direct.allocs))/n, "daemonAllocs/request")
		})
	}
}

// BenchmarkTokenBatch measures the allocations of the daemon per batch of tokens, from the engine's event to the flush to
// the caller: those of long responses minus those of short ones.
func BenchmarkTokenBatch(b *testing.B) {
	const batches = 256
	r := newRig(b)
	b.ResetTimer()
	addedAllocs := func(tokens int) float64 {
		direct := r.measureRequests(b, r.engineURL, tokens, true)
		return float64(r.measureRequests(b, r.daemonURL, tokens, true).allocs) - float64(direct.allocs)
	}
	short := addedAllocs(1)
	b.ReportMetric((addedAllocs(batches+1)-short)/float64(b.N)/batches, "daemonAllocs/batch")
}

// measureRequests returns the resource usage of b.N requests to the target, after a warm-up.
func (r *rig) measureRequests(b *testing.B, target string, tokens int, stream bool) resourceUsage {
	b.Helper()
	send := func(n int) {
		var wg sync.WaitGroup
		for i := range openStreams {
			wg.Go(func() {
				for range n / openStreams {
					if err := r.doRequest(b.Context(), target, tokens, stream); err != nil {
						b.Error(err)
						return
					}
				}
				if i < n%openStreams {
					_ = r.doRequest(b.Context(), target, tokens, stream)
				}
			})
		}
		wg.Wait()
	}
	send(openStreams)
	before, began := processUsage(), time.Now()
	send(b.N)
	after := processUsage()
	return resourceUsage{cpu: after.cpu - before.cpu, wall: time.Since(began), allocs: after.allocs - before.allocs}
}

// BenchmarkStreamMemory measures the memory of open streams in the daemon: that of streams through the daemon
// minus that of as many streams directly to the engine.
func BenchmarkStreamMemory(b *testing.B) {
	for _, streams := range []int{500, 1000, maxHeldStreams} {
		b.Run(fmt.Sprintf("streams=%d", streams), func(b *testing.B) {
			r := newRig(b)
			for b.Loop() {
				direct := r.streamMemory(b, r.engineURL, streams)
				proxied := r.streamMemory(b, r.daemonURL, streams)
				b.ReportMetric(float64(proxied-direct)/(1<<20), "MiB")
				b.ReportMetric(float64(proxied-direct)/float64(streams), "B/stream")
			}
		})
	}
}

// streamMemory returns the heap and stack bytes used by open streams to the target.
func (r *rig) streamMemory(b *testing.B, target string, streams int) int64 {
	b.Helper()
	before := bytesInUse()
	release := r.holdStreams(b, target, streams, minHeldTokens)
	held := bytesInUse() - before
	release()
	r.client.CloseIdleConnections()
	return held
}

func bytesInUse() int64 {
	runtime.GC()
	runtime.GC()
	var mem runtime.MemStats
	runtime.ReadMemStats(&mem)
	return int64(mem.HeapAlloc + mem.StackInuse)
}
