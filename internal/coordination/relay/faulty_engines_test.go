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

// randomPicker picks a random engine, preferably one that has not failed the request.
type randomPicker struct {
	names []string
}

func (p *randomPicker) Pick(_ context.Context, _ *extern.EngineRequest, tried []ident.UpstreamID) (relay.Attempt, error) {
	order := rand.Perm(len(p.names))
	picked := p.names[order[0]]
	for _, i := range order {
		if !contains(tried, p.names[i]) {
			picked = p.names[i]
			break
		}
	}
	return relay.Attempt{Upstream: ident.UpstreamID(picked), BaseURL: picked}, nil
}

func contains(tried []ident.UpstreamID, name string) bool {
	for _, id := range tried {
		if string(id) == name {
			return true
		}
	}
	return false
}

// TestAnswersAreCompleteOverFaultyEngines guards against lost, repeated or mixed-up tokens when stand-in engines
// fail, crash, truncate, stall, delay and mismatch answers.
func TestAnswersAreCompleteOverFaultyEngines(t *testing.T) {
	for seed := range uint64(5) {
		synctest.Test(t, func(t *testing.T) { checkAnswersOverFaultyEngines(t, seed) })
	}
}

func checkAnswersOverFaultyEngines(t *testing.T, seed uint64) {
	t.Helper()
	ctx, stop := context.WithCancel(t.Context())
	local := &engine.InProcessClient{Engines: map[string]*engine.Engine{}}
	picker := &randomPicker{}
	var engineRuns, requests sync.WaitGroup
	for i := range 4 {
		name := fmt.Sprintf("e%d", i)
		e := &engine.Engine{Settings: engine.Settings{
			ID: ident.UpstreamID(name), Model: "m", Versions: []ident.VersionID{"v1"}, Seed: seed*10 + uint64(i), IdleTTL: 5 * time.Second,
		}}
		e.SetFaults(engine.Faults{Errors: 0.05, Truncated: 0.1, Stalled: 0.05, Mismatched: 0.05, Late: 0.05, LateBy: 20 * time.Second})
		local.Engines[name] = e
		picker.names = append(picker.names, name)
		engineRuns.Go(func() { e.Run(ctx) })
		engineRuns.Go(func() { crashAtRandomTimes(ctx, e, seed+uint64(i)) })
	}
	r := &relay.Relay{Engine: local, Picker: picker, FirstTokenTimeout: 5 * time.Second, InterTokenTimeout: 2 * time.Second, MaxAttempts: 12}
	for i := range 60 {
		requests.Go(func() {
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
	requests.Wait()
	stop()
	engineRuns.Wait()
	crashes := 0
	for _, e := range local.Engines {
		crashes += e.Stats().Crashes
		require.Zero(t, e.Stats().CrossOrganisationBlocks)
	}
	require.Positive(t, crashes)
}

func crashAtRandomTimes(ctx context.Context, e *engine.Engine, seed uint64) {
	rng := rand.New(rand.NewPCG(seed, 1))
	for {
		select {
		case <-time.After(time.Second + time.Duration(rng.Int64N(int64(15*time.Second)))):
			e.Crash(time.Second)
		case <-ctx.Done():
			return
		}
	}
}
