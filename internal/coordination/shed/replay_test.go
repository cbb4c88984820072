package shed

import (
	"container/heap"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// The replay drives one upstream that does one request after the other, the most urgent first, at up to four times what
// it can do. Callers leave at their deadline; a refused caller returns once, as late as it was told or after a third of
// the time that it has left.
const (
	work     = 40 * time.Millisecond
	target   = 500 * time.Millisecond
	patience = 4 * time.Second
	// lateWorth is the part of a request's worth that is left if it is late; published are a tenth to a half.
	lateWorth = 0.3
	playFor   = 30 * time.Second
)

type simRequest struct {
	arrived, deadline time.Time
	priority, order   int
	returned          bool
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

// outcome is what callers got.
type outcome struct {
	offered, inTime, late, refused int
	// heldInVain counts those that waited until they left.
	heldInVain int
}

func (o *outcome) worth() float64 { return float64(o.inTime) + lateWorth*float64(o.late) }

// play offers load times the capacity; desk is nil for an upstream that takes all in turn.
func play(load float64, desk *Controller) *outcome {
	rng := rand.New(rand.NewPCG(3, 4))
	out, queue, order := &outcome{}, &simQueue{}, 0
	var back []*simRequest
	begun, free := time.Now(), time.Now()
	next := begun
	accept := func(r *simRequest, now time.Time) {
		order++
		r.order = order
		// The estimates count all that waits, as those who decide can't see which of it has left.
		first := time.Duration(len(*queue)+1)*work + max(0, free.Sub(now))
		ahead := first
		for _, other := range *queue {
			if other.priority > 0 {
				ahead -= work
			}
		}
		if desk == nil {
			heap.Push(queue, r)
			return
		}
		switch v := desk.Decide(&Request{
			FirstByte: first, FirstByteBeforeLate: ahead, Own: work, Target: target, UntilDeadline: r.deadline.Sub(now), Waited: now.Sub(r.arrived),
		}).(type) {
		case *Admit:
			r.priority = v.Priority
			heap.Push(queue, r)
		case *Reject:
			if r.returned {
				out.refused++
				return
			}
			r.returned = true
			pause := min(v.RetryAfter, r.deadline.Sub(now)/3)
			// The caller's clock goes on.
			back = append(back, &simRequest{arrived: r.arrived, deadline: r.deadline, returned: true, order: int(now.Add(pause).Sub(begun))})
		}
	}
	for time.Since(begun) < playFor {
		time.Sleep(time.Millisecond)
		now := time.Now()
		for !next.After(now) {
			out.offered++
			accept(&simRequest{arrived: next, deadline: next.Add(patience)}, now)
			next = next.Add(time.Duration(rng.ExpFloat64() * float64(work) / load))
		}
		waiting := back
		back = nil
		for _, r := range waiting {
			if now.Sub(begun) < time.Duration(r.order) {
				back = append(back, r)
				continue
			}
			accept(r, now)
		}
		for !free.After(now) && queue.Len() > 0 {
			r := heap.Pop(queue).(*simRequest)
			if now.After(r.deadline) {
				out.heldInVain++
				continue
			}
			free = now.Add(work)
			if free.Sub(r.arrived) <= target {
				out.inTime++
			} else {
				out.late++
			}
		}
	}
	return out
}

func TestGoodputDoesNotFallAsTheLoadRises(t *testing.T) {
	best := 0.0
	for _, load := range []float64{0.5, 0.8, 1, 1.3, 2, 4} {
		synctest.Test(t, func(t *testing.T) {
			without, with := play(load, nil), play(load, &Controller{})
			t.Logf("load %.1f: without worth %.0f in time %d late %d held %d; with worth %.0f in time %d late %d refused %d held %d",
				load, without.worth(), without.inTime, without.late, without.heldInVain,
				with.worth(), with.inTime, with.late, with.refused, with.heldInVain)
			require.GreaterOrEqual(t, with.worth(), 0.97*without.worth())
			require.GreaterOrEqual(t, with.worth(), 0.95*best, "goodput falls")
			if load < 1 {
				require.Zero(t, with.refused, "nothing is refused that can be served")
			}
			if load >= 1.3 {
				require.Greater(t, with.inTime, 2*without.inTime)
				require.Less(t, with.heldInVain, with.offered/20, "what can't be served is refused at once")
			}
			best = max(best, with.worth())
		})
	}
}
