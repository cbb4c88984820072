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
	// openStreams is how many streams are open beside the measured requests.
	openStreams = 64
	// tokenPause is the time between two tokens of an open stream.
	tokenPause = 20 * time.Millisecond
	// pacedTokens is the length from which the engine paces an answer.
	pacedTokens = 10_000
	// heldTokens is the length from which the engine sends one token and holds the stream open.
	heldTokens = 1_000_000
	// heldStreams is how many streams the memory is measured with.
	heldStreams = 2000
)

// instant is an engine that answers at once, one token a chunk.
type instant struct{}

func (instant) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	rc := http.NewResponseController(w)
	if r.URL.Path == "/v1/events" {
		report(r.Context(), w, rc)
		return
	}
	var req engine.Request
	_ = json.NewDecoder(r.Body).Decode(&req)
	for i := range req.MaxTokens {
		if i > 0 && !wait(r.Context(), req.MaxTokens) {
			return
		}
		_, _ = fmt.Fprintf(w, `data: {"id":%q,"choices":[{"index":0,"text":" word"}],"tokenIndex":%d,"tokenCount":1}`+"\n\n", req.RequestID, i)
		_ = rc.Flush()
	}
	_, _ = fmt.Fprintf(w, `data: {"id":%q,"choices":[{"index":0,"text":"","finish_reason":"stop"}],"tokenIndex":%d,"tokenCount":0,`+
		`"usage":{"prompt_tokens":8,"completion_tokens":%d,"cachedTokens":0}}`+"\n\ndata: [DONE]\n\n", req.RequestID, req.MaxTokens, req.MaxTokens)
}

// wait pauses before the next token of a long answer. It returns false once the stream has ended.
func wait(ctx context.Context, tokens ident.Tokens) bool {
	switch {
	case tokens >= heldTokens:
		<-ctx.Done()
	case tokens >= pacedTokens:
		select {
		case <-time.After(tokenPause):
		case <-ctx.Done():
		}
	}
	return ctx.Err() == nil
}

// report sends load reports of an idle engine.
func report(ctx context.Context, w http.ResponseWriter, rc *http.ResponseController) {
	for ctx.Err() == nil {
		_, _ = io.WriteString(w, `data: {"load":{"incarnation":1,"versions":["girth-1"]}}`+"\n\n")
		_ = rc.Flush()
		select {
		case <-time.After(time.Second):
		case <-ctx.Done():
		}
	}
}

// rig is one daemon with one engine, and a client of both.
type rig struct {
	client         *http.Client
	direct, daemon string
	key            string
}

// quiet drops the log, whose lines would come between the results.
func quiet() {
	klog.LogToStderr(false)
	klog.SetOutput(io.Discard)
}

func newRig(b *testing.B) *rig {
	b.Helper()
	quiet()
	upstream := httptest.NewServer(instant{})
	system := &local.System{
		DaemonCount:    1,
		FailureDomains: []ident.FailureDomain{"riga-1"},
		Model:          "girth",
		Version:        "girth-1",
		Organisations:  []config.Organisation{{ID: "survey", Team: "alder", Rate: 1e9, Burst: 1e9}},
		Upstreams:      []config.Upstream{{ID: "instant", Kind: config.UpstreamEngine, BaseURL: upstream.URL, FailureDomain: "riga-1", Model: "girth"}},
		AdjustSettings: func(s *setup.Settings) { s.Limits.MaxStreams = 2 * heldStreams },
	}
	require.NoError(b, system.Start(b.Context()))
	r := &rig{
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: heldStreams}},
		direct: upstream.URL + "/v1/completions",
		daemon: "http://" + system.Addresses()[0] + "/v1/completions",
		key:    system.Keys["survey"],
	}
	b.Cleanup(func() {
		r.client.CloseIdleConnections()
		system.Close()
		upstream.CloseClientConnections()
		upstream.Close()
	})
	require.EventuallyWithT(b, func(c *assert.CollectT) { require.NoError(c, r.ask(b.Context(), r.daemon, 1, true)) },
		10*time.Second, 20*time.Millisecond)
	return r
}

// ask sends a request and reads its whole answer.
func (r *rig) ask(ctx context.Context, target string, tokens int, stream bool) error {
	resp, err := r.open(ctx, target, tokens, stream)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return err
}

func (r *rig) open(ctx context.Context, target string, tokens int, stream bool) (*http.Response, error) {
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

// hold opens streams that stay open until the returned function is called.
func (r *rig) hold(b *testing.B, target string, n, tokens int) (release func()) {
	b.Helper()
	ctx, cancel := context.WithCancel(b.Context())
	var wg sync.WaitGroup
	for range n {
		resp, err := r.open(ctx, target, tokens, true)
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
// Requests straight to the engine and through the daemon alternate.
func BenchmarkAddedTime(b *testing.B) {
	for name, stream := range map[string]bool{"streamed": true, "whole": false} {
		b.Run(name, func(b *testing.B) {
			r := newRig(b)
			defer r.hold(b, r.daemon, openStreams, pacedTokens)()
			var direct, through []time.Duration
			for b.Loop() {
				direct = append(direct, r.timed(b, r.direct, stream))
				through = append(through, r.timed(b, r.daemon, stream))
			}
			for _, percent := range []int{50, 99} {
				d, t := at(direct, percent), at(through, percent)
				b.ReportMetric(d.Seconds()*1e3, fmt.Sprintf("directP%dMs", percent))
				b.ReportMetric((t-d).Seconds()*1e3, fmt.Sprintf("addedP%dMs", percent))
			}
		})
	}
}

func (r *rig) timed(b *testing.B, target string, stream bool) time.Duration {
	b.Helper()
	began := time.Now()
	if err := r.ask(b.Context(), target, 1, stream); err != nil {
		b.Fatal(err)
	}
	return time.Since(began)
}

func at(d []time.Duration, percent int) time.Duration {
	slices.Sort(d)
	return d[min(len(d)-1, len(d)*percent/100)]
}

// spent is the processor time and the allocations of the process.
type spent struct {
	cpu, wall time.Duration
	allocs    uint64
}

func spending() spent {
	var usage syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	var mem runtime.MemStats
	runtime.ReadMemStats(&mem)
	return spent{cpu: time.Duration(usage.Utime.Nano() + usage.Stime.Nano()), allocs: mem.Mallocs}
}

// BenchmarkRequests measures what a request costs the daemon: the processor time and the allocations of requests through
// the daemon, less those of as many straight to the engine, from as many clients as openStreams.
func BenchmarkRequests(b *testing.B) {
	for _, bench := range []struct {
		tokens int
		stream bool
	}{{1, true}, {16, true}, {64, true}, {256, true}, {1, false}, {64, false}} {
		b.Run(fmt.Sprintf("tokens=%d/stream=%t", bench.tokens, bench.stream), func(b *testing.B) {
			r := newRig(b)
			b.ResetTimer()
			direct := r.cost(b, r.direct, bench.tokens, bench.stream)
			through := r.cost(b, r.daemon, bench.tokens, bench.stream)
			n := float64(b.N)
			cpu := (through.cpu - direct.cpu).Seconds() / n
			b.ReportMetric(cpu*1e6, "cpuUs/request")
			b.ReportMetric(through.wall.Seconds()/direct.wall.Seconds(), "wall/directWall")
			b.ReportMetric(1/cpu, "requests/s/core")
			b.ReportMetric((float64(through.allocs)-float64(direct.allocs))/n, "daemonAllocs/request")
		})
	}
}

// BenchmarkTokenBatch measures the allocations of the daemon for one batch of tokens, from the engine's event to the
// flush to the caller: the cost of longer answers less that of short ones.
func BenchmarkTokenBatch(b *testing.B) {
	const batches = 256
	r := newRig(b)
	b.ResetTimer()
	added := func(tokens int) float64 {
		direct := r.cost(b, r.direct, tokens, true)
		return float64(r.cost(b, r.daemon, tokens, true).allocs) - float64(direct.allocs)
	}
	short := added(1)
	b.ReportMetric((added(batches+1)-short)/float64(b.N)/batches, "daemonAllocs/batch")
}

// cost returns what b.N requests to the target cost the process.
func (r *rig) cost(b *testing.B, target string, tokens int, stream bool) spent {
	b.Helper()
	work := func(n int) {
		var wg sync.WaitGroup
		for i := range openStreams {
			wg.Go(func() {
				for range n / openStreams {
					if err := r.ask(b.Context(), target, tokens, stream); err != nil {
						b.Error(err)
						return
					}
				}
				if i < n%openStreams {
					_ = r.ask(b.Context(), target, tokens, stream)
				}
			})
		}
		wg.Wait()
	}
	work(openStreams)
	before, began := spending(), time.Now()
	work(b.N)
	after := spending()
	return spent{cpu: after.cpu - before.cpu, wall: time.Since(began), allocs: after.allocs - before.allocs}
}

// BenchmarkStreamMemory measures the memory of open streams in the daemon: that of streams through the daemon,
// less that of as many straight to the engine.
func BenchmarkStreamMemory(b *testing.B) {
	for _, streams := range []int{500, 1000, heldStreams} {
		b.Run(fmt.Sprintf("streams=%d", streams), func(b *testing.B) {
			r := newRig(b)
			for b.Loop() {
				direct := r.memory(b, r.direct, streams)
				through := r.memory(b, r.daemon, streams)
				b.ReportMetric(float64(through-direct)/(1<<20), "MiB")
				b.ReportMetric(float64(through-direct)/float64(streams), "B/stream")
			}
		})
	}
}

// memory returns the heap and stack bytes that held streams to the target take.
func (r *rig) memory(b *testing.B, target string, streams int) int64 {
	b.Helper()
	before := inUse()
	release := r.hold(b, target, streams, heldTokens)
	held := inUse() - before
	release()
	r.client.CloseIdleConnections()
	return held
}

func inUse() int64 {
	runtime.GC()
	runtime.GC()
	var mem runtime.MemStats
	runtime.ReadMemStats(&mem)
	return int64(mem.HeapAlloc + mem.StackInuse)
}
