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
	// concurrency is the number of concurrent requests.
	concurrency = 16
	// sharedPromptCount is the number of different system prompts that requests share, sharedPromptBytes their approximate
	// length.
	sharedPromptCount = 6
	sharedPromptBytes = 24_000
	maxTokens         = 24
	// maxRetries bounds the retries of a request that did not run.
	maxRetries = 5
	// responsesPerProgressLine is the number of responses between two lines of progress.
	responsesPerProgressLine = 50
	// maxTTFTMicros and histogramDigits (significant digits) are the range and precision of the histogram of TTFTs.
	maxTTFTMicros   = 60_000_000
	histogramDigits = 3
)

// Summary counts the requests of a run by outcome. A response is Complete if its text is the expected one; Duplicated
// counts requests that one engine started again from the first token. PrefixHitRate is the share of the prompt tokens
// that were cached.
type Summary struct {
	Sent          int     `json:"sent"`
	Answered      int     `json:"answered"`
	Complete      int     `json:"whole"`
	Duplicated    int     `json:"duplicated"`
	Rejected      int     `json:"refused"`
	Lost          int     `json:"lost"`
	PrefixHitRate float64 `json:"prefixHitRate"`
	TTFTP50Ms     float64 `json:"ttftP50Ms"`
	TTFTP99Ms     float64 `json:"ttftP99Ms"`
}

func (s *Summary) succeeded() bool {
	return s.Sent == s.Answered && s.Answered == s.Complete && s.Duplicated == 0 && s.Rejected == 0 && s.Lost == 0
}

// traffic sends requests to the daemons that locate returns, verifies the responses and collects the summary.
type traffic struct {
	system   *local.System
	requests int
	progress func(done int)

	mu           sync.Mutex
	summary      Summary
	ttfts        *hdrhistogram.Histogram
	promptTokens ident.Tokens
	cachedTokens ident.Tokens
}

func (t *traffic) run(ctx context.Context) Summary {
	t.ttfts = hdrhistogram.New(1, maxTTFTMicros, histogramDigits)
	clients := t.newClients()
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
	return t.finalSummary()
}

func (t *traffic) newClients() []*client.Client {
	var clients []*client.Client
	for _, org := range sortedOrganisations(t.system) {
		clients = append(clients, &client.Client{Seeds: t.system.Addresses(), Key: t.system.Keys[org], Retries: maxRetries})
	}
	return clients
}

func (t *traffic) send(ctx context.Context, c *client.Client, i int) {
	req := &client.Request{
		Model:     model,
		System:    sharedPrompt(i % sharedPromptCount),
		User:      fmt.Sprintf("reading %d: is the girth plausible?", i),
		MaxTokens: maxTokens,
		Seed:      int64(i),
	}
	response, err := c.Complete(ctx, req)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.summary.Sent++
	var apiErr *client.APIError
	switch {
	case errors.As(err, &apiErr) && !apiErr.InStream:
		t.summary.Rejected++
	case err != nil:
		t.summary.Lost++
	default:
		t.recordResponse(req, response)
	}
	if t.summary.Answered > 0 && t.summary.Answered%responsesPerProgressLine == 0 && err == nil {
		t.progress(t.summary.Answered)
	}
}

func (t *traffic) recordResponse(req *client.Request, response *client.Response) {
	t.summary.Answered++
	if response.Text == local.ExpectedText(req, response.Version) {
		t.summary.Complete++
	}
	t.promptTokens += response.Usage.PromptTokens
	t.cachedTokens += response.Usage.PromptTokensDetails.CachedTokens
	_ = t.ttfts.RecordValue(response.TTFT.Microseconds())
}

func (t *traffic) finalSummary() Summary {
	s := t.summary
	for _, e := range t.system.EngineList() {
		s.Duplicated += e.Stats().RepeatedRuns
	}
	if t.promptTokens > 0 {
		s.PrefixHitRate = float64(t.cachedTokens) / float64(t.promptTokens)
	}
	s.TTFTP50Ms = microsToMs(t.ttfts.ValueAtQuantile(50))
	s.TTFTP99Ms = microsToMs(t.ttfts.ValueAtQuantile(99))
	return s
}

func microsToMs(micros int64) float64 {
	return float64(time.Duration(micros)*time.Microsecond) / float64(time.Millisecond)
}

// sharedPrompt returns the n-th system prompt, a long text that many requests begin with.
func sharedPrompt(n int) string {
	line := fmt.Sprintf("plot %d: sundari, gewa, goran, keora; girths by year and stand. ", n)
	return strings.Repeat(line, sharedPromptBytes/len(line))
}
