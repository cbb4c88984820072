package relay

import (
	"context"
	"testing"

	"github.com/gooseberryway/gooseberryway/internal/state/extern"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

// instantEngine is an engine that answers without delay and reuses its chunk.
type instantEngine struct {
	extern.Engine
}

func (instantEngine) Complete(_ context.Context, _ ident.UpstreamID, _ string, req extern.EngineRequest) (extern.EngineStream, error) {
	return &instantStream{req: req}, nil
}

type instantStream struct {
	req       extern.EngineRequest
	chunk     extern.EngineChunk
	nextIndex ident.Tokens
}

func (s *instantStream) Next() (extern.EngineEvent, error) {
	if s.nextIndex == s.req.MaxTokens {
		return &extern.EngineDone{Request: s.req.Request, OutputTokens: s.nextIndex}, nil
	}
	s.chunk = extern.EngineChunk{Request: s.req.Request, Index: s.nextIndex, Count: 1, Text: " word"}
	s.nextIndex++
	return &s.chunk, nil
}

func (s *instantStream) Close() error { return nil }

type fixedPicker struct{}

func (fixedPicker) Pick(context.Context, *extern.EngineRequest, []ident.UpstreamID) (Attempt, error) {
	return Attempt{Upstream: "e1"}, nil
}

func benchmarkRun(b *testing.B, tokens ident.Tokens) {
	b.Helper()
	r := &Relay{Engine: instantEngine{}, Picker: fixedPicker{}, RetryBudget: &RetryBudget{}}
	emit := func(*extern.EngineChunk) error { return nil }
	b.ReportAllocs()
	for b.Loop() {
		if _, err := r.Run(b.Context(), newRequest(tokens), emit); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkRunOneToken(b *testing.B) { benchmarkRun(b, 1) }

// BenchmarkRunThousandTokens measures an answer of 1000 chunks; a thousandth of it is the cost of a chunk.
func BenchmarkRunThousandTokens(b *testing.B) { benchmarkRun(b, 1000) }
