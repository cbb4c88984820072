package relay

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/gooseberryway/gooseberryway/internal/state/extern"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

// How a scripted attempt ends.
const (
	endDone = iota
	endCrash
	endMismatchedChunk
	endMismatchedDone
	endStall
	endGap
	endShortDone
	endUnreachable
	endOverloaded
	endOverrun
	endKinds
)

// script is the behaviour of one attempt: it starts rewind tokens before the requested one, sends tokens in chunks of
// chunkTokens with delay before each event, then ends.
type script struct {
	rewind, tokens, chunkTokens int
	delay                       time.Duration
	end                         int
}

// scriptedEngine is an extern.Engine whose attempts follow scripts in turn; attempts beyond them answer completely.
type scriptedEngine struct {
	extern.Engine
	scripts     []script
	requests    []extern.EngineRequest
	openStreams int
	// resumeShift makes a resumption send tokens that many places off, under the requested index.
	resumeShift int
}

func tokenText(i ident.Tokens) string { return fmt.Sprintf(" t%d", i) }

func tokensText(from, to ident.Tokens) string {
	var b strings.Builder
	for i := from; i < to; i++ {
		b.WriteString(tokenText(i))
	}
	return b.String()
}

func (e *scriptedEngine) Complete(ctx context.Context, upstream ident.UpstreamID, _ string, req extern.EngineRequest) (extern.EngineStream, error) {
	s := script{tokens: int(req.MaxTokens), chunkTokens: 1, end: endDone}
	if n := len(e.requests); n < len(e.scripts) {
		s = e.scripts[n]
	}
	e.requests = append(e.requests, req)
	switch s.end {
	case endUnreachable:
		return nil, &extern.UpstreamError{Kind: extern.UpstreamUnreachable, Upstream: upstream, NotRun: true}
	case endOverloaded:
		return nil, &extern.UpstreamError{Kind: extern.UpstreamOverloaded, Upstream: upstream, NotRun: true, RetryAfter: time.Second}
	}
	e.openStreams++
	return &scriptedStream{
		ctx: ctx, engine: e, script: s, req: req, upstream: upstream,
		nextIndex: max(req.ResumeFrom-ident.Tokens(s.rewind), 0), remaining: s.tokens,
	}, nil
}

type scriptedStream struct {
	ctx       context.Context
	engine    *scriptedEngine
	script    script
	req       extern.EngineRequest
	upstream  ident.UpstreamID
	nextIndex ident.Tokens
	remaining int
}

func (s *scriptedStream) Next() (extern.EngineEvent, error) {
	if err := s.wait(s.script.delay); err != nil {
		return nil, err
	}
	if s.remaining > 0 && s.nextIndex < s.req.MaxTokens {
		n := min(ident.Tokens(min(s.script.chunkTokens, s.remaining)), s.req.MaxTokens-s.nextIndex)
		return s.nextChunk(s.nextIndex, n, s.req.Request), nil
	}
	switch s.script.end {
	case endDone:
		if s.nextIndex >= s.req.MaxTokens {
			return &extern.EngineDone{Request: s.req.Request, OutputTokens: s.req.MaxTokens}, nil
		}
	case endMismatchedChunk:
		return s.nextChunk(s.nextIndex, 1, "other"), nil
	case endMismatchedDone:
		return &extern.EngineDone{Request: "other", OutputTokens: s.nextIndex}, nil
	case endStall:
		return nil, s.wait(time.Hour)
	case endGap:
		s.nextIndex++
		return s.nextChunk(s.nextIndex, 1, s.req.Request), nil
	case endShortDone:
		// Without a chunk, a last event at the requested token would be that of a complete answer.
		if s.remaining == s.script.tokens {
			s.nextIndex = s.req.ResumeFrom
		}
		return &extern.EngineDone{Request: s.req.Request, OutputTokens: s.nextIndex + 1}, nil
	case endOverrun:
		return s.nextChunk(s.nextIndex, s.req.MaxTokens+1, s.req.Request), nil
	}
	return nil, &extern.UpstreamError{Kind: extern.UpstreamBroken, Upstream: s.upstream}
}

func (s *scriptedStream) nextChunk(at, n ident.Tokens, id ident.RequestID) *extern.EngineChunk {
	s.nextIndex = at + n
	s.remaining -= int(n)
	from := at
	if s.req.ResumeFrom > 0 {
		from += ident.Tokens(s.engine.resumeShift)
	}
	return &extern.EngineChunk{Request: id, Index: at, Count: n, Text: tokensText(from, from+n)}
}

func (s *scriptedStream) wait(d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-s.ctx.Done():
		return &extern.UpstreamError{Kind: extern.UpstreamTimeout, Upstream: s.upstream, Err: s.ctx.Err()}
	}
}

func (s *scriptedStream) Close() error {
	s.engine.openStreams--
	return nil
}
