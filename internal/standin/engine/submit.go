package engine

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"time"

	"github.com/gooseberryway/gooseberryway/internal/state/extern"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
	wireng "github.com/gooseberryway/gooseberryway/internal/transport/engine"
)

// RefusalError is a request or order that the engine did not take.
type RefusalError struct {
	Status int
	Code   string
	// NotRun is true if the engine says that nothing ran.
	NotRun     bool
	RetryAfter time.Duration
	Message    string
}

func (e *RefusalError) Error() string {
	return fmt.Sprintf("engine refused: %d %s: %s", e.Status, e.Code, e.Message)
}

// CrashError is a request that ended because the engine crashed.
type CrashError struct{}

func (e *CrashError) Error() string { return "the engine has crashed" }

// TruncatedError is an answer that ends without its last event.
type TruncatedError struct{}

func (e *TruncatedError) Error() string { return "the answer is truncated" }

// Submit takes a request. The caller must Close the completion. The error is a *RefusalError or a *CrashError.
func (e *Engine) Submit(ctx context.Context, req extern.EngineRequest) (*Completion, error) {
	e.init()
	j := e.newJob(&req)
	if e.Store != nil && req.ImportBlocks > 0 {
		j.importable = e.Store.LookupPrefix(ctx, j.chain[:min(req.ImportBlocks, len(j.chain))])
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if err := e.take(j); err != nil {
		return nil, err
	}
	e.poke()
	return j.out, nil
}

// take checks a job and queues it; e.mu is held.
func (e *Engine) take(j *job) error {
	if e.isDown() {
		return &CrashError{}
	}
	e.stats.Requests++
	if refusal := e.refusal(j); refusal != nil {
		e.stats.Refused++
		return refusal
	}
	e.account(j)
	if e.fails(j) {
		e.stats.Failed++
		return &RefusalError{Status: http.StatusInternalServerError, Code: wireng.CodeBroken, Message: "the model failed"}
	}
	e.applyFaults(j)
	e.arrivals++
	j.arrival = e.arrivals
	at, _ := slices.BinarySearchFunc(e.waiting, j, compareJobs)
	e.waiting = slices.Insert(e.waiting, at, j)
	return nil
}

func (e *Engine) refusal(j *job) *RefusalError {
	switch {
	case j.req.Model != e.Model || e.versions[j.req.Version] == nil:
		return &RefusalError{Status: http.StatusNotFound, Code: wireng.CodeRejected, NotRun: true, Message: "the version is not loaded"}
	case j.req.Adapter != "" && !e.adapters[j.req.Adapter]:
		return &RefusalError{Status: http.StatusNotFound, Code: wireng.CodeRejected, NotRun: true, Message: "the adapter is not loaded"}
	case j.limit <= j.next:
		return &RefusalError{Status: http.StatusBadRequest, Code: wireng.CodeRejected, NotRun: true, Message: "nothing left to generate"}
	case len(e.waiting) >= e.MaxWaiting:
		return &RefusalError{
			Status: http.StatusTooManyRequests, Code: wireng.CodeOverloaded, NotRun: true,
			RetryAfter: time.Second, Message: "the queue is full",
		}
	default:
		return nil
	}
}

// account counts the run of a request.
func (e *Engine) account(j *job) {
	e.runs[j.req.Request]++
	if e.runs[j.req.Request] > 1 && j.req.ResumeFrom == 0 {
		e.stats.RepeatedRuns++
	}
	if !e.leftAt.IsZero() && time.Now().After(e.leftAt) {
		e.stats.WorkAfterLeaving++
	}
	e.stats.PromptTokens += j.prompt
}

// compareJobs orders jobs by priority, then by arrival.
func compareJobs(a, b *job) int {
	if a.req.Priority != b.req.Priority {
		return a.req.Priority - b.req.Priority
	}
	return int(int64(a.arrival) - int64(b.arrival)) //nolint:gosec // arrivals are counted from 1
}

// leave removes a job whose reader has gone or that has ended.
func (e *Engine) leave(j *job) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.drop(j) {
		e.stats.Cancelled++
		j.out.end(extern.EngineDone{}, context.Canceled)
		e.poke()
	}
}

// drop takes a job out of the engine and reports whether it was still there; e.mu is held.
func (e *Engine) drop(j *job) bool {
	for _, list := range []*[]*job{&e.waiting, &e.running} {
		if i := slices.Index(*list, j); i >= 0 {
			*list = slices.Delete(*list, i, i+1)
			e.release(j)
			return true
		}
	}
	return false
}

func (e *Engine) release(j *job) {
	for _, b := range j.blocks {
		e.cache.unpin(b)
	}
	j.blocks = nil
}

// pin marks a cached block as used by a job.
func (e *Engine) pin(j *job, hash ident.BlockHash) {
	b := e.cache.pin(hash, time.Now())
	if b.organisation != j.req.Organisation || b.version != j.req.Version {
		e.stats.CrossOrganisationBlocks++
	}
	j.blocks = append(j.blocks, b)
}
