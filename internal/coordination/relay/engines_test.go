package relay_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/gooseberryway/gooseberryway/internal/coordination/relay"
	"github.com/gooseberryway/gooseberryway/internal/standin/engine"
	"github.com/gooseberryway/gooseberryway/internal/state/extern"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

// anyEngine picks an engine at random, one that has not failed the request if there is one.
type anyEngine struct {
	names []string
}

func (p *anyEngine) Pick(_ context.Context, _ *extern.EngineRequest, tried []ident.UpstreamID) (relay.Attempt, error) {
	order := rand.Perm(len(p.names))
	best := p.names[order[0]]
	for _, i := range order {
		if !contains(tried, p.names[i]) {
			best = p.names[i]
			break
		}
	}
	return relay.Attempt{Upstream: ident.UpstreamID(best), BaseURL: best}, nil
}

func contains(tried []ident.UpstreamID, name string) bool {
	for _, id := range tried {
		if string(id) == name {
			return true
		}
	}
	return false
}

// TestEveryAnswerIsWholeOverFaultyEngines runs stand-in engines that crash, truncate, stall and cross answers.
func TestEveryAnswerIsWholeOverFaultyEngines(t *testing.T) {
	for seed := range uint64(5) {
		synctest.Test(t, func(t *testing.T) { runFaulty(t, seed) })
	}
}

func runFaulty(t *testing.T, seed uint64) {
	t.Helper()
	ctx, stop := context.WithCancel(t.Context())
	local := &engine.InProcessClient{Engines: map[string]*engine.Engine{}}
	picker := &anyEngine{}
	var running, asking sync.WaitGroup
	for i := range 4 {
		name := fmt.Sprintf("e%d", i)
		e := &engine.Engine{Settings: engine.Settings{
			ID: ident.UpstreamID(name), Model: "m", Versions: []ident.VersionID{"v1"}, Seed: seed*10 + uint64(i), IdleTTL: 5 * time.Second,
		}}
		e.SetFaults(engine.Faults{Errors: 0.05, Truncated: 0.1, Stalled: 0.05, Mismatched: 0.05, Late: 0.05, LateBy: 20 * time.Second})
		local.Engines[name] = e
		picker.names = append(picker.names, name)
		running.Go(func() { e.Run(ctx) })
		running.Go(func() { crashNowAndThen(ctx, e, seed+uint64(i)) })
	}
	r := &relay.Relay{Engine: local, Picker: picker, FirstTokenTimeout: 5 * time.Second, InterTokenTimeout: 2 * time.Second, MaxAttempts: 12}
	for i := range 60 {
		asking.Go(func() {
			time.Sleep(time.Duration(i) * 100 * time.Millisecond)
			req := extern.EngineRequest{
				Request: ident.RequestID(fmt.Sprintf("r%d", i)), Organisation: "survey", Model: "m", Version: "v1",
				Prompt: []byte(strings.Repeat("girth", 1000*(1+i%7))), MaxTokens: ident.Tokens(20 + 10*i), Seed: uint64(i),
			}
			var out strings.Builder
			_, err := r.Run(ctx, req, func(c *extern.EngineChunk) error {
				out.WriteString(c.Text)
				return nil
			})
			if err != nil {
				t.Errorf("seed %d, request %d: %v", seed, i, err)
			}
			if out.String() != engine.Answer("m", "v1", engine.DigestPrompt(req.Prompt), uint64(i), 0, req.MaxTokens) {
				t.Errorf("seed %d, request %d: wrong answer", seed, i)
			}
		})
	}
	asking.Wait()
	stop()
	running.Wait()
	crashes := 0
	for _, e := range local.Engines {
		crashes += e.Stats().Crashes
		require.Zero(t, e.Stats().CrossOrganisationBlocks)
	}
	require.Positive(t, crashes)
}

func crashNowAndThen(ctx context.Context, e *engine.Engine, seed uint64) {
	random := rand.New(rand.NewPCG(seed, 1))
	for {
		select {
		case <-time.After(time.Second + time.Duration(random.Int64N(int64(15*time.Second)))):
			e.Crash(time.Second)
		case <-ctx.Done():
			return
		}
	}
}
