package engine

import (
	"context"
	"sync"
	"time"

	"github.com/gooseberryway/gooseberryway/internal/state/extern"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
	"github.com/gooseberryway/gooseberryway/internal/state/prefix"
)

// job is a request in the engine. Its plain fields belong to the engine's lock.
type job struct {
	req     extern.EngineRequest
	key     uint64
	chain   []ident.BlockHash
	arrival uint64
	// prompt counts the tokens to process before the first output token, processed those done.
	prompt, processed ident.Tokens
	cached            ident.Tokens
	importable        int
	next, limit       ident.Tokens
	blocks            []*block
	// credit is the part of a token that a slow version has earned so far.
	credit float64
	// truncateAt and stallAt are output positions, negative for none.
	truncateAt, stallAt ident.Tokens

	out *Completion
}

// Completion is the reader's side of a running answer.
type Completion struct {
	engine *Engine
	job    *job
	// answers is the request whose id and tokens the reader sees; another one's when the answer is crossed.
	answers extern.EngineRequest
	key     uint64
	holdFor time.Duration

	notify chan struct{}
	mu     sync.Mutex
	// produced and delivered are positions in the answer.
	produced, delivered ident.Tokens
	ended               bool
	err                 error
	done                extern.EngineDone
}

// Next blocks for the next event: an *extern.EngineChunk or, last, an *extern.EngineDone. The error is a *CrashError,
// a *TruncatedError or that of ctx.
func (c *Completion) Next(ctx context.Context) (extern.EngineEvent, error) {
	if err := c.hold(ctx); err != nil {
		return nil, err
	}
	for {
		if event, err := c.poll(); event != nil || err != nil {
			return event, err
		}
		select {
		case <-c.notify:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// Close cancels the answer if it is still running.
func (c *Completion) Close() {
	c.engine.leave(c.job)
}

// hold keeps a late answer back once.
func (c *Completion) hold(ctx context.Context) error {
	if c.holdFor <= 0 {
		return nil
	}
	timer := time.NewTimer(c.holdFor)
	defer timer.Stop()
	c.holdFor = 0
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (c *Completion) poll() (extern.EngineEvent, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if n := min(c.produced-c.delivered, maxChunkTokens); n > 0 {
		from := c.delivered
		c.delivered += n
		return &extern.EngineChunk{Request: c.answers.Request, Index: from, Count: n, Text: answerText(c.key, from, from+n)}, nil
	}
	if !c.ended {
		return nil, nil //nolint:nilnil // nothing yet
	}
	if c.err != nil {
		return nil, c.err
	}
	done := c.done
	return &done, nil
}

// room reports whether the reader keeps up.
func (c *Completion) room() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.produced-c.delivered < outputBuffer
}

func (c *Completion) emit() {
	c.mu.Lock()
	c.produced++
	c.mu.Unlock()
	c.signal()
}

func (c *Completion) end(done extern.EngineDone, err error) {
	c.mu.Lock()
	if !c.ended {
		c.ended, c.done, c.err = true, done, err
	}
	c.mu.Unlock()
	c.signal()
}

func (c *Completion) signal() {
	select {
	case c.notify <- struct{}{}:
	default:
	}
}

func (e *Engine) newJob(req *extern.EngineRequest) *job {
	scope := prefix.Scope{Organisation: req.Organisation, Model: req.Model, Version: req.Version, Adapter: req.Adapter}
	j := &job{
		req:        *req,
		key:        answerKeyOf(req),
		chain:      prefix.Chain(scope, req.Prompt, e.BlockTokens),
		prompt:     prefix.TokensOf(req.Prompt) + req.ResumeFrom,
		next:       req.ResumeFrom,
		limit:      req.MaxTokens,
		truncateAt: -1,
		stallAt:    -1,
	}
	j.out = &Completion{
		engine:    e,
		job:       j,
		answers:   *req,
		key:       j.key,
		notify:    make(chan struct{}, 1),
		produced:  j.next,
		delivered: j.next,
	}
	return j
}
