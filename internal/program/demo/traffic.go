package demo

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/gooseberryway/gooseberryway/internal/program/client"
	"github.com/gooseberryway/gooseberryway/internal/program/local"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

const (
	// concurrency is the number of requests under way at once.
	concurrency = 16
	// prefixes is the number of shared prefixes of each organisation, prefixBytes their length.
	prefixes    = 6
	prefixBytes = 24_000
	maxTokens   = 24
	// retries bounds how often a request that did not run is sent again.
	retries = 5
	// progressEvery is the number of answers between two lines of progress.
	progressEvery = 50
	// longestMicros and digits are the range and precision of the histogram of times.
	longestMicros = 60_000_000
	digits        = 3
)

// Summary is the outcome of a run.
type Summary struct {
	Sent          int     `json:"sent"`
	Answered      int     `json:"answered"`
	Whole         int     `json:"whole"`
	Duplicated    int     `json:"duplicated"`
	Refused       int     `json:"refused"`
	Lost          int     `json:"lost"`
	PrefixHitRate float64 `json:"prefixHitRate"`
	TTFTP50Ms     float64 `json:"ttftP50Ms"`
	TTFTP99Ms     float64 `json:"ttftP99Ms"`
}

func (s *Summary) good() bool {
	return s.Sent == s.Answered && s.Answered == s.Whole && s.Duplicated == 0 && s.Refused == 0 && s.Lost == 0
}

// traffic sends requests through locate and verifies the answers.
type traffic struct {
	system   *local.System
	requests int
	progress func(done int)

	mu      sync.Mutex
	summary Summary
	times   *hdrhistogram.Histogram
	prompt  ident.Tokens
	cached  ident.Tokens
}

func (t *traffic) run(ctx context.Context) Summary {
	t.times = hdrhistogram.New(1, longestMicros, digits)
	clients := t.clients()
	defer func() {
		for _, c := range clients {
			c.Close()
		}
	}()
	next := make(chan int)
	var wg sync.WaitGroup
	for range concurrency {
		wg.Go(func() {
			for i := range next {
				t.send(ctx, clients[i%len(clients)], i)
			}
		})
	}
	for i := range t.requests {
		next <- i
	}
	close(next)
	wg.Wait()
	return t.conclude()
}

func (t *traffic) clients() []*client.Client {
	var clients []*client.Client
	for _, org := range organisations(t.system) {
		clients = append(clients, &client.Client{Seeds: t.system.Addresses(), Key: t.system.Keys[org], Retries: retries})
	}
	return clients
}

func (t *traffic) send(ctx context.Context, c *client.Client, i int) {
	req := &client.Request{
		Model:     model,
		System:    ledger(i % prefixes),
		User:      fmt.Sprintf("reading %d: is the girth plausible?", i),
		MaxTokens: maxTokens,
		Seed:      int64(i),
	}
	answer, err := c.Complete(ctx, req)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.summary.Sent++
	var refusal *client.APIError
	switch {
	case errors.As(err, &refusal) && !refusal.InStream:
		t.summary.Refused++
	case err != nil:
		t.summary.Lost++
	default:
		t.take(req, answer)
	}
	if t.summary.Answered > 0 && t.summary.Answered%progressEvery == 0 && err == nil {
		t.progress(t.summary.Answered)
	}
}

func (t *traffic) take(req *client.Request, answer *client.Response) {
	t.summary.Answered++
	if answer.Text == local.ExpectedText(req, answer.Version) {
		t.summary.Whole++
	}
	t.prompt += answer.Usage.PromptTokens
	t.cached += answer.Usage.PromptTokensDetails.CachedTokens
	_ = t.times.RecordValue(answer.TTFT.Microseconds())
}

func (t *traffic) conclude() Summary {
	s := t.summary
	for _, e := range t.system.EngineList() {
		s.Duplicated += e.Stats().RepeatedRuns
	}
	if t.prompt > 0 {
		s.PrefixHitRate = float64(t.cached) / float64(t.prompt)
	}
	s.TTFTP50Ms = inMs(t.times.ValueAtQuantile(50))
	s.TTFTP99Ms = inMs(t.times.ValueAtQuantile(99))
	return s
}

func inMs(micros int64) float64 {
	return float64(time.Duration(micros)*time.Microsecond) / float64(time.Millisecond)
}

// ledger returns a long text that many requests share.
func ledger(n int) string {
	line := fmt.Sprintf("plot %d: sundari, gewa, goran, keora; girths by year and stand. ", n)
	return strings.Repeat(line, prefixBytes/len(line))
}
