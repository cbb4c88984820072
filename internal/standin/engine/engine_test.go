package engine

import (
	"bytes"
	"context"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/gooseberryway/gooseberryway/internal/state/extern"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

// synctestT is a test inside a synctest bubble, whose clock advances only when all goroutines are blocked. The embedded
// field gives the *testing.T to helpers.
type synctestT struct{ *testing.T }

// runEngine runs a test in a synctest bubble against an engine "e1" that has versions v1 and v2 of model m.
func runEngine(t *testing.T, e *Engine, test func(t synctestT, local *InProcessClient)) {
	t.Helper()
	e.ID, e.Model, e.Versions = "e1", "m", []ident.VersionID{"v1", "v2"}
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() {
			defer close(done)
			e.Run(ctx)
		}()
		test(synctestT{t}, &InProcessClient{Engines: map[string]*Engine{"e1": e}})
		cancel()
		<-done
	})
}

// newRequest returns a request for version v1 whose prompt has the given number of blocks. All prompts are repetitions
// of the same text, so that they share their leading blocks.
func newRequest(id string, blocks int, tokens ident.Tokens) extern.EngineRequest {
	prompt := bytes.Repeat([]byte("abcd"), blocks*defaultBlockTokens)
	return extern.EngineRequest{
		Request: ident.RequestID(id), Organisation: "survey", Model: "m", Version: "v1", Prompt: prompt, MaxTokens: tokens,
	}
}

// readAnswer reads a stream to its end, checks its text and returns the TTFT and the last event.
func readAnswer(t *testing.T, l *InProcessClient, req extern.EngineRequest) (time.Duration, *extern.EngineDone, error) {
	t.Helper()
	started := time.Now()
	s, err := l.Complete(t.Context(), "e1", "e1", req)
	if err != nil {
		return 0, nil, err
	}
	defer s.Close()
	var ttft time.Duration
	var text strings.Builder
	for {
		event, err := s.Next()
		if err != nil {
			return ttft, nil, err
		}
		if ttft == 0 {
			ttft = time.Since(started)
		}
		switch event := event.(type) {
		case *extern.EngineChunk:
			text.WriteString(event.Text)
		case *extern.EngineDone:
			want := Answer(req.Model, req.Version, DigestPrompt(req.Prompt), req.Seed, req.ResumeFrom, req.MaxTokens)
			require.Equal(t, want, text.String())
			return ttft, event, nil
		}
	}
}

// TestTokenDependsOnlyOnItsArguments guards the check of answers: tokens must be reproducible one by one and must differ
// between models, versions, prompts and seeds, else mixed-up answers would not be noticed.
func TestTokenDependsOnlyOnItsArguments(t *testing.T) {
	digest := DigestPrompt([]byte("prompt"))
	var tokens strings.Builder
	for i := range ident.Tokens(20) {
		tokens.WriteString(Token("m", "v1", digest, 3, i))
	}
	require.Equal(t, tokens.String(), Answer("m", "v1", digest, 3, 0, 20))
	for _, other := range []string{
		Answer("n", "v1", digest, 3, 0, 20), Answer("m", "v2", digest, 3, 0, 20),
		Answer("m", "v1", digest+1, 3, 0, 20), Answer("m", "v1", digest, 4, 0, 20),
	} {
		require.NotEqual(t, tokens.String(), other)
	}
}

// TestCachedPrefixCostsFarLessThanACacheMiss checks that a cached prompt needs no prefill, and that blocks are never
// reused for another organisation or version.
func TestCachedPrefixCostsFarLessThanACacheMiss(t *testing.T) {
	e := &Engine{}
	runEngine(t, e, func(t synctestT, l *InProcessClient) {
		coldTTFT, done, err := readAnswer(t.T, l, newRequest("r1", 32, 4))
		require.NoError(t, err)
		require.Zero(t, done.CachedTokens)
		warmTTFT, done, err := readAnswer(t.T, l, newRequest("r2", 32, 4))
		require.NoError(t, err)
		require.Equal(t, ident.Tokens(32_000), done.CachedTokens)
		require.Greater(t, coldTTFT, 10*warmTTFT)

		other := newRequest("r3", 32, 4)
		other.Organisation = "audit"
		_, done, err = readAnswer(t.T, l, other)
		require.NoError(t, err)
		require.Zero(t, done.CachedTokens, "no blocks of another organisation")
		other = newRequest("r4", 32, 4)
		other.Version = "v2"
		_, done, err = readAnswer(t.T, l, other)
		require.NoError(t, err)
		require.Zero(t, done.CachedTokens, "no blocks of another version")
		require.Zero(t, e.Stats().CrossOrganisationBlocks)
	})
}

func TestCacheEvictsBeyondCapacityAndAfterIdleTTL(t *testing.T) {
	e := &Engine{Settings: Settings{CacheBlocks: 8, IdleTTL: 5 * time.Second}}
	runEngine(t, e, func(t synctestT, l *InProcessClient) {
		for i, req := range []extern.EngineRequest{newRequest("r1", 6, 2), newRequest("r2", 6, 2)} {
			req.Organisation = ident.OrganisationID([]string{"survey", "audit"}[i])
			_, _, err := readAnswer(t.T, l, req)
			require.NoError(t, err)
			require.LessOrEqual(t, len(e.CachedBlocks()), 8)
		}
		_, done, err := readAnswer(t.T, l, newRequest("r3", 6, 2))
		require.NoError(t, err)
		require.Less(t, done.CachedTokens, ident.Tokens(6000), "the older blocks were evicted")
		time.Sleep(6 * time.Second)
		require.Empty(t, e.CachedBlocks())
	})
}

func TestImportIsCheaperThanPrefill(t *testing.T) {
	e := &Engine{Store: fullBlockStore{}}
	runEngine(t, e, func(t synctestT, l *InProcessClient) {
		coldTTFT, _, err := readAnswer(t.T, l, newRequest("r1", 16, 2))
		require.NoError(t, err)
		imported := newRequest("r2", 16, 2)
		imported.Organisation, imported.ImportBlocks = "audit", 16
		importTTFT, _, err := readAnswer(t.T, l, imported)
		require.NoError(t, err)
		require.Less(t, importTTFT, coldTTFT/2)
		require.Equal(t, ident.Tokens(16_000), e.Stats().ImportedTokens)
	})
}

// fullBlockStore is a block store that has every block.
type fullBlockStore struct{}

func (fullBlockStore) LookupPrefix(_ context.Context, chain []ident.BlockHash) int { return len(chain) }
func (fullBlockStore) Export(context.Context, []ident.BlockHash)                   {}

func TestBatchIsBoundedAndQueueFollowsPriority(t *testing.T) {
	e := &Engine{Settings: Settings{MaxRunning: 2, MaxWaiting: 3}}
	runEngine(t, e, func(t synctestT, l *InProcessClient) {
		var order []ident.RequestID
		var streams []extern.EngineStream
		for _, r := range []struct {
			id       string
			priority int
		}{{"a", 0}, {"b", 0}} {
			req := newRequest(r.id, 0, 50)
			req.Priority = r.priority
			s, err := l.Complete(t.Context(), "e1", "e1", req)
			require.NoError(t, err)
			streams = append(streams, s)
		}
		time.Sleep(100 * time.Millisecond)
		ended := make(chan ident.RequestID, 3)
		for id, priority := range map[string]int{"low": 9, "high": 1, "middle": 5} {
			req := newRequest(id, 0, 50)
			req.Priority = priority
			s, err := l.Complete(t.Context(), "e1", "e1", req)
			require.NoError(t, err)
			streams = append(streams, s)
			go func() {
				for {
					event, err := s.Next()
					if _, done := event.(*extern.EngineDone); done || err != nil {
						ended <- req.Request
						return
					}
				}
			}()
		}
		_, err := l.Complete(t.Context(), "e1", "e1", newRequest("late", 0, 1))
		var up *extern.UpstreamError
		require.ErrorAs(t, err, &up)
		require.Equal(t, extern.UpstreamOverloaded, up.Kind)
		require.True(t, up.NotRun)
		require.NoError(t, streams[0].Close())
		for range 3 {
			order = append(order, <-ended)
		}
		require.Equal(t, []ident.RequestID{"high", "middle", "low"}, order)
		require.Equal(t, 2, e.Stats().MaxRunning)
		for _, s := range streams {
			require.NoError(t, s.Close())
		}
	})
}

func TestSlowReaderPausesItsAnswer(t *testing.T) {
	e := &Engine{}
	runEngine(t, e, func(t synctestT, l *InProcessClient) {
		s, err := l.Complete(t.Context(), "e1", "e1", newRequest("r1", 0, 1000))
		require.NoError(t, err)
		time.Sleep(time.Minute)
		require.Equal(t, ident.Tokens(outputBufferTokens), e.Stats().OutputTokens)
		require.NoError(t, s.Close())
		require.Equal(t, 1, e.Stats().Cancelled)
	})
}

func TestCrashEndsAnswersAndEmptiesTheCache(t *testing.T) {
	e := &Engine{}
	runEngine(t, e, func(t synctestT, l *InProcessClient) {
		_, _, err := readAnswer(t.T, l, newRequest("r1", 4, 2))
		require.NoError(t, err)
		s, err := l.Complete(t.Context(), "e1", "e1", newRequest("r2", 4, 100))
		require.NoError(t, err)
		e.Crash(2 * time.Second)
		for err == nil {
			_, err = s.Next()
		}
		var up *extern.UpstreamError
		require.ErrorAs(t, err, &up)
		require.False(t, up.NotRun)
		_, _, err = readAnswer(t.T, l, newRequest("r3", 4, 2))
		require.ErrorAs(t, err, &up)
		time.Sleep(2 * time.Second)
		_, done, err := readAnswer(t.T, l, newRequest("r4", 4, 2))
		require.NoError(t, err)
		require.Zero(t, done.CachedTokens)
		require.Equal(t, ident.Incarnation(2), e.Stats().Incarnation)
	})
}
