package relay

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/gooseberryway/gooseberryway/internal/state/extern"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

// Ways in which a scripted attempt ends.
const (
	endDone = iota
	endCrash
	endCrossedChunk
	endCrossedDone
	endStall
	endGap
	endShortDone
	endUnreachable
	endOverloaded
	endOverrun
	endKinds
)

// script is what one attempt does: it starts back tokens before the asked one, sends tokens in chunks, then ends.
type script struct {
	back, tokens, chunk int
	delay               time.Duration
	end                 int
}

// scripted is an extern.Engine whose attempts follow scripts; further attempts answer whole.
type scripted struct {
	extern.Engine
	scripts []script
	seen    []extern.EngineRequest
	open    int
	// shift resumes at another token than asked and labels it as asked.
	shift int
}

func token(i ident.Tokens) string { return fmt.Sprintf(" t%d", i) }

func text(from, to ident.Tokens) string {
	var b strings.Builder
	for i := from; i < to; i++ {
		b.WriteString(token(i))
	}
	return b.String()
}

func (e *scripted) Complete(ctx context.Context, upstream ident.UpstreamID, _ string, req extern.EngineRequest) (extern.EngineStream, error) {
	s := script{tokens: int(req.MaxTokens), chunk: 1, end: endDone}
	if n := len(e.seen); n < len(e.scripts) {
		s = e.scripts[n]
	}
	e.seen = append(e.seen, req)
	switch s.end {
	case endUnreachable:
		return nil, &extern.UpstreamError{Kind: extern.UpstreamUnreachable, Upstream: upstream, NotRun: true}
	case endOverloaded:
		return nil, &extern.UpstreamError{Kind: extern.UpstreamOverloaded, Upstream: upstream, NotRun: true, RetryAfter: time.Second}
	}
	e.open++
	return &scriptedStream{
		ctx: ctx, engine: e, script: s, req: req, upstream: upstream,
		at: max(req.ResumeFrom-ident.Tokens(s.back), 0), left: s.tokens,
	}, nil
}

type scriptedStream struct {
	ctx      context.Context
	engine   *scripted
	script   script
	req      extern.EngineRequest
	upstream ident.UpstreamID
	at       ident.Tokens
	left     int
}

func (s *scriptedStream) Next() (extern.EngineEvent, error) {
	if err := s.wait(s.script.delay); err != nil {
		return nil, err
	}
	if s.left > 0 && s.at < s.req.MaxTokens {
		n := min(ident.Tokens(min(s.script.chunk, s.left)), s.req.MaxTokens-s.at)
		return s.chunkOf(s.at, n, s.req.Request), nil
	}
	switch s.script.end {
	case endDone:
		if s.at >= s.req.MaxTokens {
			return &extern.EngineDone{Request: s.req.Request, OutputTokens: s.req.MaxTokens}, nil
		}
	case endCrossedChunk:
		return s.chunkOf(s.at, 1, "other"), nil
	case endCrossedDone:
		return &extern.EngineDone{Request: "other", OutputTokens: s.at}, nil
	case endStall:
		return nil, s.wait(time.Hour)
	case endGap:
		s.at++
		return s.chunkOf(s.at, 1, s.req.Request), nil
	case endShortDone:
		// Without a chunk, an end at the asked token would be that of a whole answer.
		if s.left == s.script.tokens {
			s.at = s.req.ResumeFrom
		}
		return &extern.EngineDone{Request: s.req.Request, OutputTokens: s.at + 1}, nil
	case endOverrun:
		return s.chunkOf(s.at, s.req.MaxTokens+1, s.req.Request), nil
	}
	return nil, &extern.UpstreamError{Kind: extern.UpstreamBroken, Upstream: s.upstream}
}

func (s *scriptedStream) chunkOf(at, n ident.Tokens, id ident.RequestID) *extern.EngineChunk {
	s.at = at + n
	s.left -= int(n)
	from := at
	if s.req.ResumeFrom > 0 {
		from += ident.Tokens(s.engine.shift)
	}
	return &extern.EngineChunk{Request: id, Index: at, Count: n, Text: text(from, from+n)}
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
	s.engine.open--
	return nil
}
