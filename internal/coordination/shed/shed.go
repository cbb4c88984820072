// Package shed decides what becomes of a request when the upstreams of its service are at their limit: whether it is
// sent at once, sent behind those that can still be in time, or refused with a time to return. It does no I/O.
//
// The load patterns that it answers:
//
//	more arrives than the upstreams can do   work that would be late yields to work that can be in time
//	the queue outlasts the callers           what would not be answered before its caller leaves is refused at once
//	refused callers return                   they return in the order of their refusals, as fast as the upstreams work
package shed

import (
	"sync"
	"time"
)

const (
	// behind is added to the priority of a request that would be late; published priorities reach 2 of 9.
	behind = 4
	// lastPriority is the least urgent.
	lastPriority = 9
	// doubt is how many times the time left the estimate must be for a refusal: estimates are coarse, and a request that
	// is refused by mistake has lost more than one that waits in vain.
	doubt = 1.2
	// returnLeast is the least time after which a refused caller may return.
	returnLeast = 50 * time.Millisecond
	// returnMost bounds the times that are given out: queues don't outlast the callers by more.
	returnMost = 5 * time.Second
	// ownShare is the part of the target that counts at most for what a request causes itself, so that a large one is not
	// put behind for its size.
	ownShare = 4
)

// Request is what is known of a request that an upstream was chosen for.
type Request struct {
	// FirstByte is the estimated time to the first byte of the answer behind all that waits at the chosen upstream, Ahead the
	// same before all work that is late, and Own the part of both that the request causes itself.
	FirstByte, FirstByteBeforeLate, Own time.Duration
	// Target is the time within which the answer is in time, Left the time until the caller leaves.
	Target, UntilDeadline time.Duration
	// Waited is how long the request has been here.
	Waited time.Duration
	// Priority orders requests at an upstream; 0 is the most urgent.
	Priority int
}

// Decision is what becomes of a request: *Send or *Refuse.
type Decision interface{ verdict() }

// Admit sends the request with the priority.
type Admit struct {
	Priority int
	// Late says that the request is expected to be late.
	Late bool
}

// Reject refuses the request; it has not run.
type Reject struct {
	RetryAfter time.Duration
}

func (*Admit) verdict() {}

func (*Reject) verdict() {}

// Controller decides for the requests of one service. The zero value is ready; all methods may be called at once.
type Controller struct {
	mu sync.Mutex
	// returns is when the next refused caller may return.
	returns time.Time
}

// Decide says what becomes of a request now.
func (d *Controller) Decide(r *Request) Decision {
	own := min(r.Own, r.Target/ownShare)
	if r.Target <= 0 || r.Waited+r.FirstByteBeforeLate-r.Own+own <= r.Target {
		return &Admit{Priority: r.Priority}
	}
	if float64(r.FirstByte) > doubt*float64(r.UntilDeadline) {
		return &Reject{RetryAfter: d.back(r)}
	}
	return &Admit{Priority: min(r.Priority+behind, max(lastPriority, r.Priority)), Late: true}
}

// back returns when the caller of a refused request may return: once the queue has shrunk to what the caller would have
// waited for, and after those who were refused before.
func (d *Controller) back(r *Request) time.Duration {
	now := time.Now()
	shrunk := now.Add(max(r.FirstByte-r.UntilDeadline, returnLeast))
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.returns.Before(shrunk) {
		d.returns = shrunk
	}
	at := d.returns
	if latest := now.Add(returnMost); at.After(latest) {
		at = latest
	}
	d.returns = at.Add(r.Own)
	return at.Sub(now)
}
