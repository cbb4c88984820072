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

// RefusalError is a request or order that the engine answered with an error status.
type RefusalError struct {
	Status int
	Code   string
	// NotRun is true if the engine states that the request was not executed, so that a retry is safe.
	NotRun     bool
	RetryAfter time.Duration
	Message    string
}

func (e *RefusalError) Error() string {
	return fmt.Sprintf("engine refused: %d %s: %s", e.Status, e.Code, e.Message)
}

// CrashError is returned for a request or order that the engine did not complete because it crashed or is down.
type CrashError struct{}

func (e *CrashError) Error() string { return "the engine has crashed" }

// TruncatedError is returned by Completion.Next for an answer that ends without its last event.
type TruncatedError struct{}

func (e *TruncatedError) Error() string { return "the answer is truncated" }

// Submit queues a request and returns its answer, which the caller must Close. The error is a *RefusalError or a
// *CrashError.
func (e *Engine) Submit(ctx context.Context, req extern.EngineRequest) (*Completion, error) {
	e.init()
	j := e.newJob(&req)
	if e.Store != nil && req.ImportBlocks > 0 {
		j.importableBlocks = e.Store.LookupPrefix(ctx, j.chain[:min(req.ImportBlocks, len(j.chain))])
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if err := e.enqueue(j); err != nil {
		return nil, err
	}
	e.wakeScheduler()
	return j.completion, nil
}

// enqueue checks a job and inserts it into the queue by priority. The caller holds e.mu.
func (e *Engine) enqueue(j *job) error {
	if e.isDown() {
		return &CrashError{}
	}
	e.stats.Requests++
	if refusal := e.checkRequest(j); refusal != nil {
		e.stats.Refused++
		return refusal
	}
	e.countRun(j)
	if e.shouldFail(j) {
		e.stats.Failed++
		return &RefusalError{Status: http.StatusInternalServerError, Code: wireng.CodeBroken, Message: "the model failed"}
	}
	e.applyFaults(j)
	e.arrivalCount++
	j.arrival = e.arrivalCount
	at, _ := slices.BinarySearchFunc(e.waiting, j, compareJobs)
	e.waiting = slices.Insert(e.waiting, at, j)
	return nil
}

// checkRequest returns the reason to refuse the job, or nil.
func (e *Engine) checkRequest(j *job) *RefusalError {
	switch {
	case j.req.Model != e.Model || e.versions[j.req.Version] == nil:
		return &RefusalError{Status: http.StatusNotFound, Code: wireng.CodeRejected, NotRun: true, Message: "the version is not loaded"}
	case j.req.Adapter != "" && !e.adapters[j.req.Adapter]:
		return &RefusalError{Status: http.StatusNotFound, Code: wireng.CodeRejected, NotRun: true, Message: "the adapter is not loaded"}
	case j.maxTokens <= j.nextToken:
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

// countRun updates the counters for a job that passed the checks.
func (e *Engine) countRun(j *job) {
	e.runCounts[j.req.Request]++
	if e.runCounts[j.req.Request] > 1 && j.req.ResumeFrom == 0 {
		e.stats.RepeatedRuns++
	}
	if !e.leaveAt.IsZero() && time.Now().After(e.leaveAt) {
		e.stats.WorkAfterLeaving++
	}
	e.stats.PromptTokens += j.promptTokens
}

// compareJobs orders jobs by priority (lower values first), then by arrival.
func compareJobs(a, b *job) int {
	if a.req.Priority != b.req.Priority {
		return a.req.Priority - b.req.Priority
	}
	return int(int64(a.arrival) - int64(b.arrival)) //nolint:gosec // arrivals are counted from 1
}

// cancelJob removes a job whose reader has closed it. It does nothing if the job has ended.
func (e *Engine) cancelJob(j *job) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.removeJob(j) {
		e.stats.Cancelled++
		j.completion.end(extern.EngineDone{}, context.Canceled)
		e.wakeScheduler()
	}
}

// removeJob removes a job from the queue or the batch, unpins its blocks and reports whether the job was found. The
// caller holds e.mu.
func (e *Engine) removeJob(j *job) bool {
	for _, list := range []*[]*job{&e.waiting, &e.running} {
		if i := slices.Index(*list, j); i >= 0 {
			*list = slices.Delete(*list, i, i+1)
			e.unpinBlocks(j)
			return true
		}
	}
	return false
}

func (e *Engine) unpinBlocks(j *job) {
	for _, b := range j.pinnedBlocks {
		e.cache.unpin(b)
	}
	j.pinnedBlocks = nil
}

// pinBlock pins a cached block until the job ends, and counts a use across organisations or versions.
func (e *Engine) pinBlock(j *job, hash ident.BlockHash) {
	b := e.cache.pin(hash, time.Now())
	if b.organisation != j.req.Organisation || b.version != j.req.Version {
		e.stats.CrossOrganisationBlocks++
	}
	j.pinnedBlocks = append(j.pinnedBlocks, b)
}
