package relay

import (
	"context"
	"testing"

	"github.com/gooseberryway/gooseberryway/internal/state/extern"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

// instant is an engine that answers at once and reuses its events.
type instant struct {
	extern.Engine
}

func (instant) Complete(_ context.Context, _ ident.UpstreamID, _ string, req extern.EngineRequest) (extern.EngineStream, error) {
	return &instantStream{req: req}, nil
}

type instantStream struct {
	req   extern.EngineRequest
	chunk extern.EngineChunk
	at    ident.Tokens
}

func (s *instantStream) Next() (extern.EngineEvent, error) {
	if s.at == s.req.MaxTokens {
		return &extern.EngineDone{Request: s.req.Request, OutputTokens: s.at}, nil
	}
	s.chunk = extern.EngineChunk{Request: s.req.Request, Index: s.at, Count: 1, Text: " word"}
	s.at++
	return &s.chunk, nil
}

func (s *instantStream) Close() error { return nil }

type fixed struct{}

func (fixed) Pick(context.Context, *extern.EngineRequest, []ident.UpstreamID) (Attempt, error) {
	return Attempt{Upstream: "e1"}, nil
}

func benchmark(b *testing.B, tokens ident.Tokens) {
	b.Helper()
	r := &Relay{Engine: instant{}, Picker: fixed{}, RetryBudget: &RetryBudget{}}
	emit := func(*extern.EngineChunk) error { return nil }
	b.ReportAllocs()
	for b.Loop() {
		if _, err := r.Run(b.Context(), request(tokens), emit); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkRunOneToken(b *testing.B) { benchmark(b, 1) }

// BenchmarkRunThousandTokens divided by a thousand is the cost of a chunk.
func BenchmarkRunThousandTokens(b *testing.B) { benchmark(b, 1000) }
