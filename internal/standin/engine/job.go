package engine

import (
	"context"
	"sync"
	"time"

	"github.com/gooseberryway/gooseberryway/internal/state/extern"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
	"github.com/gooseberryway/gooseberryway/internal/state/prefix"
)

// job is a request in the engine's queue or batch. Engine.mu guards its fields; the completion has its own lock.
type job struct {
	req       extern.EngineRequest
	answerKey uint64
	chain     []ident.BlockHash
	arrival   uint64
	// promptTokens is the number of tokens to process before the first new output token: the prompt and, when resuming,
	// the output so far. processedTokens is the number already processed, cachedTokens those found in the cache.
	promptTokens, processedTokens ident.Tokens
	cachedTokens                  ident.Tokens
	// importableBlocks is the number of leading blocks that the KV cache store has.
	importableBlocks int
	// nextToken is the position of the next output token; maxTokens is the position after the last.
	nextToken, maxTokens ident.Tokens
	pinnedBlocks         []*block
	// tokenCredit is the fraction of a token generated so far. A slow version adds less than 1 per step.
	tokenCredit float64
	// truncateAt and stallAt are the output positions at which the fault shows; negative means no fault.
	truncateAt, stallAt ident.Tokens

	completion *Completion
}

// Completion is the reader's side of an answer in progress. One goroutine at a time may call Next.
type Completion struct {
	engine *Engine
	job    *job
	// servedRequest is the request whose id and tokens the reader gets. It differs from the job's when the fault
	// Mismatched applies.
	servedRequest extern.EngineRequest
	answerKey     uint64
	startDelay    time.Duration

	notify chan struct{}
	mu     sync.Mutex
	// produced and delivered are the output positions up to which tokens were generated and returned by Next.
	produced, delivered ident.Tokens
	ended               bool
	err                 error
	done                extern.EngineDone
}

// Next waits for the next event: an *extern.EngineChunk or, as the last, an *extern.EngineDone. The error is a
// *CrashError, a *TruncatedError, context.Canceled after Close, or that of ctx.
func (c *Completion) Next(ctx context.Context) (extern.EngineEvent, error) {
	if err := c.waitStartDelay(ctx); err != nil {
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

// Close cancels the answer if it is still in progress.
func (c *Completion) Close() {
	c.engine.cancelJob(c.job)
}

// waitStartDelay delays the first event of an answer that has the fault Late.
func (c *Completion) waitStartDelay(ctx context.Context) error {
	if c.startDelay <= 0 {
		return nil
	}
	timer := time.NewTimer(c.startDelay)
	defer timer.Stop()
	c.startDelay = 0
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// poll returns the next event, or nil if there is none yet.
func (c *Completion) poll() (extern.EngineEvent, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if n := min(c.produced-c.delivered, maxChunkTokens); n > 0 {
		from := c.delivered
		c.delivered += n
		return &extern.EngineChunk{Request: c.servedRequest.Request, Index: from, Count: n, Text: answerText(c.answerKey, from, from+n)}, nil
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

// hasRoom reports whether the reader is less than outputBufferTokens behind.
func (c *Completion) hasRoom() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.produced-c.delivered < outputBufferTokens
}

func (c *Completion) addToken() {
	c.mu.Lock()
	c.produced++
	c.mu.Unlock()
	c.signal()
}

// end records the last event or the error of the answer. Only the first call has an effect.
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
		req:          *req,
		answerKey:    requestAnswerKey(req),
		chain:        prefix.Chain(scope, req.Prompt, e.BlockTokens),
		promptTokens: prefix.TokensOf(req.Prompt) + req.ResumeFrom,
		nextToken:    req.ResumeFrom,
		maxTokens:    req.MaxTokens,
		truncateAt:   -1,
		stallAt:      -1,
	}
	j.completion = &Completion{
		engine:        e,
		job:           j,
		servedRequest: *req,
		answerKey:     j.answerKey,
		notify:        make(chan struct{}, 1),
		produced:      j.nextToken,
		delivered:     j.nextToken,
	}
	return j
}
