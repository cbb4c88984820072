// Package shed decides on a request for which an upstream was chosen, from the estimated time to its first byte, its
// target latency and its deadline: whether it is admitted at its own priority, admitted behind requests that can
// still be on time, or rejected with a Retry-After. It does no I/O.
//
// The load patterns that it handles:
//
//	more arrives than the upstreams can serve   late requests yield to those that can be on time
//	the queue outlasts the callers              requests that can't be answered before their deadline are rejected at once
//	rejected callers retry                      their retries are spread in the order of rejection, at the upstreams' rate
package shed

import (
	"sync"
	"time"
)

const (
	// latePriorityOffset is added to the priority of a request that will be late. Published priorities are at most 2
	// of 9.
	latePriorityOffset = 4
	// lowestPriority is the least urgent priority.
	lowestPriority = 9
	// rejectionSafetyFactor is how many times the time until the deadline the estimate must be for a rejection.
	// Estimates are coarse, and a request that is rejected by mistake loses more than one that waits in vain.
	rejectionSafetyFactor = 1.2
	// minRetryAfter is the minimum of a Retry-After, before the time for callers that were rejected earlier is added.
	minRetryAfter = 50 * time.Millisecond
	// maxRetryAfter is the maximum of a Retry-After: queues don't outlast the callers' deadlines by more.
	maxRetryAfter = 5 * time.Second
	// ownTargetDivisor limits how much of the time that a request itself takes counts when lateness is decided: at most
	// its target divided by ownTargetDivisor, so that a large request is not delayed just for its size.
	ownTargetDivisor = 4
)

// Request is a request for which an upstream was chosen, with estimates for that upstream.
type Request struct {
	// FirstByte is the estimated time to the first byte of the response if the request runs after all outstanding
	// work at the upstream, FirstByteBeforeLate the same if it runs before all late requests. Own is the part of both
	// that the request causes itself.
	FirstByte, FirstByteBeforeLate, Own time.Duration
	// Target is the time from the arrival of the request within which it is on time; 0 for none. UntilDeadline is the
	// time until the caller leaves.
	Target, UntilDeadline time.Duration
	// Waited is how long ago the request arrived.
	Waited time.Duration
	// Priority orders requests at an upstream; 0 is the most urgent.
	Priority int
}

// Decision is the result of Decide: *Admit or *Reject.
type Decision interface{ isDecision() }

// Admit sends the request to the upstream with a priority.
type Admit struct {
	Priority int
	// Late says that the request is expected to miss its target.
	Late bool
}

// Reject refuses the request without running it. The caller may retry after RetryAfter.
type Reject struct {
	RetryAfter time.Duration
}

func (*Admit) isDecision() {}

func (*Reject) isDecision() {}

// Controller decides on the requests of one service. The zero value is ready for use; its methods may be called
// concurrently.
type Controller struct {
	mu sync.Mutex
	// nextRetryAt is the earliest time at which the next rejected caller may retry.
	nextRetryAt time.Time
}

// Decide returns what is to be done with a request now.
func (c *Controller) Decide(r *Request) Decision {
	own := min(r.Own, r.Target/ownTargetDivisor)
	if r.Target <= 0 || r.Waited+r.FirstByteBeforeLate-r.Own+own <= r.Target {
		return &Admit{Priority: r.Priority}
	}
	if float64(r.FirstByte) > rejectionSafetyFactor*float64(r.UntilDeadline) {
		return &Reject{RetryAfter: c.retryAfter(r)}
	}
	return &Admit{Priority: min(r.Priority+latePriorityOffset, max(lowestPriority, r.Priority)), Late: true}
}

// retryAfter returns when the caller of a rejected request may retry: once the queue is so short that the request
// would meet its deadline, and after the callers that were rejected before, each of which gets the time that its
// request takes.
func (c *Controller) retryAfter(r *Request) time.Duration {
	now := time.Now()
	queueDrainedAt := now.Add(max(r.FirstByte-r.UntilDeadline, minRetryAfter))
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.nextRetryAt.Before(queueDrainedAt) {
		c.nextRetryAt = queueDrainedAt
	}
	retryAt := c.nextRetryAt
	if latest := now.Add(maxRetryAfter); retryAt.After(latest) {
		retryAt = latest
	}
	c.nextRetryAt = retryAt.Add(r.Own)
	return retryAt.Sub(now)
}
