package shed

import (
	"container/heap"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// The simulation drives one upstream that runs one request after the other, the most urgent first, with up to four
// times the load that it can serve. Callers leave at their deadline. A rejected caller retries once, after the time
// that it was given or a third of the time until its deadline, whichever is shorter.
const (
	serviceTime   = 40 * time.Millisecond
	targetLatency = 500 * time.Millisecond
	callerTimeout = 4 * time.Second
	// lateValue is the value of a late response relative to one that is on time; published values are a tenth to a
	// half.
	lateValue     = 0.3
	simulatedTime = 30 * time.Second
)

type simRequest struct {
	arrivedAt, deadline time.Time
	// order is the order of arrival at the upstream. For a caller that waits to retry, it is the time of the retry in
	// nanoseconds since the start.
	priority, order int
	isRetry         bool
}

type simQueue []*simRequest

func (q simQueue) Len() int { return len(q) }

func (q simQueue) Less(i, j int) bool {
	if q[i].priority != q[j].priority {
		return q[i].priority < q[j].priority
	}
	return q[i].order < q[j].order
}

func (q simQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

func (q *simQueue) Push(x any) { *q = append(*q, x.(*simRequest)) }

func (q *simQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

// simResult is what callers got.
type simResult struct {
	offered, onTime, late, rejected int
	// abandoned counts the requests whose callers left before they were served.
	abandoned int
}

// goodput returns the value of all responses in units of one that is on time.
func (r *simResult) goodput() float64 { return float64(r.onTime) + lateValue*float64(r.late) }

// simulate offers load times the capacity of the upstream. With a nil controller, the upstream takes all requests in
// the order of their arrival.
func simulate(load float64, controller *Controller) *simResult {
	rng := rand.New(rand.NewPCG(3, 4))
	result, queue, order := &simResult{}, &simQueue{}, 0
	var retries []*simRequest
	startedAt, upstreamFreeAt := time.Now(), time.Now()
	nextArrival := startedAt
	accept := func(r *simRequest, now time.Time) {
		order++
		r.order = order
		// The estimates include requests whose callers have left, as the daemon that makes them can't know of those.
		firstByte := time.Duration(len(*queue)+1)*serviceTime + max(0, upstreamFreeAt.Sub(now))
		beforeLate := firstByte
		for _, other := range *queue {
			if other.priority > 0 {
				beforeLate -= serviceTime
			}
		}
		if controller == nil {
			heap.Push(queue, r)
			return
		}
		switch decision := controller.Decide(&Request{
			FirstByte: firstByte, FirstByteBeforeLate: beforeLate, Own: serviceTime, Target: targetLatency,
			UntilDeadline: r.deadline.Sub(now), Waited: now.Sub(r.arrivedAt),
		}).(type) {
		case *Admit:
			r.priority = decision.Priority
			heap.Push(queue, r)
		case *Reject:
			if r.isRetry {
				result.rejected++
				return
			}
			r.isRetry = true
			retryIn := min(decision.RetryAfter, r.deadline.Sub(now)/3)
			// The deadline stays that of the first attempt.
			retries = append(retries, &simRequest{
				arrivedAt: r.arrivedAt, deadline: r.deadline, isRetry: true, order: int(now.Add(retryIn).Sub(startedAt)),
			})
		}
	}
	for time.Since(startedAt) < simulatedTime {
		time.Sleep(time.Millisecond)
		now := time.Now()
		for !nextArrival.After(now) {
			result.offered++
			accept(&simRequest{arrivedAt: nextArrival, deadline: nextArrival.Add(callerTimeout)}, now)
			nextArrival = nextArrival.Add(time.Duration(rng.ExpFloat64() * float64(serviceTime) / load))
		}
		pending := retries
		retries = nil
		for _, r := range pending {
			if now.Sub(startedAt) < time.Duration(r.order) {
				retries = append(retries, r)
				continue
			}
			accept(r, now)
		}
		for !upstreamFreeAt.After(now) && queue.Len() > 0 {
			r := heap.Pop(queue).(*simRequest)
			if now.After(r.deadline) {
				result.abandoned++
				continue
			}
			upstreamFreeAt = now.Add(serviceTime)
			if upstreamFreeAt.Sub(r.arrivedAt) <= targetLatency {
				result.onTime++
			} else {
				result.late++
			}
		}
	}
	return result
}

// Guards against a collapse of goodput under overload: without shedding, the upstream works on requests that are late
// or whose callers have left.
func TestGoodputDoesNotFallUnderOverload(t *testing.T) {
	best := 0.0
	for _, load := range []float64{0.5, 0.8, 1, 1.3, 2, 4} {
		synctest.Test(t, func(t *testing.T) {
			without, with := simulate(load, nil), simulate(load, &Controller{})
			t.Logf("load %.1f: without shedding goodput %.0f on time %d late %d abandoned %d; with shedding goodput %.0f on time %d late %d rejected %d abandoned %d",
				load, without.goodput(), without.onTime, without.late, without.abandoned,
				with.goodput(), with.onTime, with.late, with.rejected, with.abandoned)
			require.GreaterOrEqual(t, with.goodput(), 0.97*without.goodput())
			require.GreaterOrEqual(t, with.goodput(), 0.95*best, "goodput falls")
			if load < 1 {
				require.Zero(t, with.rejected, "no request is rejected that can be served")
			}
			if load >= 1.3 {
				require.Greater(t, with.onTime, 2*without.onTime)
				require.Less(t, with.abandoned, with.offered/20, "requests that can't be served are rejected at once")
			}
			best = max(best, with.goodput())
		})
	}
}
