package place

import (
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/gooseberryway/gooseberryway/internal/coordination/shed"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

// kindLoad is one kind of request of the replay, with the prompt tokens of one and how many come in a second.
type kindLoad struct {
	tokens   ident.Tokens
	rate     int
	target   time.Duration
	priority int

	asked, onTime int
}

// priorityEngine processes prompts one after the other, the most urgent first.
type priorityEngine struct {
	mu    sync.Mutex
	queue []queuedPrompt
	wake  chan struct{}
}

type queuedPrompt struct {
	priority int
	tokens   ident.Tokens
	done     chan struct{}
}

func (e *priorityEngine) enqueue(priority int, tokens ident.Tokens) chan struct{} {
	e.mu.Lock()
	defer e.mu.Unlock()
	q := queuedPrompt{priority, tokens, make(chan struct{})}
	i, _ := slices.BinarySearchFunc(e.queue, priority+1, func(q queuedPrompt, p int) int { return q.priority - p })
	e.queue = slices.Insert(e.queue, i, q)
	select {
	case e.wake <- struct{}{}:
	default:
	}
	return q.done
}

func (e *priorityEngine) run(stop chan struct{}) {
	for {
		e.mu.Lock()
		var next *queuedPrompt
		if len(e.queue) > 0 {
			next = &e.queue[0]
			e.queue = slices.Clone(e.queue[1:])
		}
		e.mu.Unlock()
		if next == nil {
			select {
			case <-e.wake:
			case <-stop:
				return
			}
			continue
		}
		time.Sleep(time.Duration(next.tokens) * time.Millisecond / prefillTokensPerMs)
		close(next.done)
	}
}

// replayKinds sends the kinds to the engines for four seconds and counts what is on time. Requests run at their kinds' priorities, or
// all at the same if ranked isn't set.
func replayKinds(kinds []*kindLoad, ranked bool) {
	p, shedder, rng := newTestPlacer(), &shed.Controller{}, rand.New(rand.NewPCG(1, 2))
	engines, stop := map[ident.UpstreamID]*priorityEngine{}, make(chan struct{})
	var wg, running sync.WaitGroup
	var mu sync.Mutex
	for i := range engineCount {
		e := &priorityEngine{wake: make(chan struct{}, 1)}
		engines[engineAt(i).ID] = e
		running.Go(func() { e.run(stop) })
	}
	for _, k := range kinds {
		priority := 0
		if ranked {
			priority = k.priority
		}
		for range 4 * k.rate {
			at := time.Duration(rng.Int64N(int64(4 * time.Second)))
			wg.Go(func() {
				time.Sleep(at)
				onTime := sendOne(p, shedder, engines, k, priority) <= k.target
				mu.Lock()
				defer mu.Unlock()
				if k.asked++; onTime {
					k.onTime++
				}
			})
		}
	}
	wg.Wait()
	close(stop)
	running.Wait()
}

// sendOne returns how long the first token of a request took; a refused one never gets one.
func sendOne(p *Placer, shedder *shed.Controller, engines map[ident.UpstreamID]*priorityEngine, k *kindLoad, priority int) time.Duration {
	const timeout, refused = 5 * time.Second, time.Hour
	r := &Request{Service: "llm", Model: "m", Input: k.tokens, Priority: priority}
	startedAt := time.Now()
	c, err := p.Choose(r)
	if err != nil {
		return refused
	}
	decision := shedder.Decide(&shed.Request{
		FirstByte: c.Wait.Total, FirstByteBeforeLate: c.Wait.BeforeLate, Own: c.Wait.Own, Target: k.target, UntilDeadline: timeout, Priority: priority,
	})
	admit, ok := decision.(*shed.Admit)
	if !ok {
		p.Discard(c)
		return refused
	}
	c.Late = admit.Late
	tracker := p.Begin(c, r)
	<-engines[c.Upstream.ID].enqueue(admit.Priority, k.tokens)
	tracker.MarkActive()
	tracker.MarkFirstEvent()
	tracker.End(OutcomeSucceeded)
	return time.Since(startedAt)
}

// Guards against short and urgent requests that are taken for late, and put behind all others, because of long and less urgent ones that
// wait at the engines. The load is 1.8 times what the engines can do, the urgent part of it a third.
func TestUrgentRequestsAreOnTimeBesideExcessOfLongOnes(t *testing.T) {
	urgentOnTime := func(ranked bool) float64 {
		urgent := &kindLoad{tokens: 630, rate: 300, target: 400 * time.Millisecond}
		long := &kindLoad{tokens: 2900, rate: 310, target: 1200 * time.Millisecond, priority: 1}
		synctest.Test(t, func(*testing.T) { replayKinds([]*kindLoad{urgent, long}, ranked) })
		t.Logf("ranked %v: urgent %d of %d, long %d of %d", ranked, urgent.onTime, urgent.asked, long.onTime, long.asked)
		return float64(urgent.onTime) / float64(urgent.asked)
	}
	require.GreaterOrEqual(t, urgentOnTime(true), 0.95, "the target of 95 in 100")
	require.Less(t, urgentOnTime(false), 0.95, "the load is none that needs ranks")
}

// Guards against a mix that speaks before anything was sent, or of what was sent long ago.
func TestUrgencyMixFollowsWhatIsSent(t *testing.T) {
	now := time.Now()
	var m urgencyMix
	require.InDelta(t, 1, m.tokensBefore(now, 0), 0)
	m.observe(now, 0, false, 100)
	m.observe(now, 1, false, 300)
	m.observe(now, 0, true, 1000)
	require.InDelta(t, 0.25, m.tokensBefore(now, 0), 1e-9)
	require.InDelta(t, 1, m.tokensBefore(now, 1), 1e-9)
	require.InDelta(t, 1.0/3, m.requestsBefore(now, 0), 1e-9)
	require.InDelta(t, 2.0/3, m.requestsBefore(now, 9), 1e-9)
	require.InDelta(t, 1, m.tokensBefore(now.Add(time.Minute), 0), 0)
}

// Guards against slots that seem to be occupied for as long as requests wait for one, so that the more requests wait the more are taken for
// late.
func TestSlotTimeLeavesOutTheWaitForTheSlot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newTestPlacer()
		p.estimates("llm").prefill.SetPrior(time.Millisecond / prefillTokensPerMs)
		p.Begin(mustChoose(t, p), requestFor(1))
		for range 40 {
			tracker := p.Begin(mustChoose(t, p), requestFor(1))
			time.Sleep(2 * time.Second)
			tracker.MarkFirstEvent()
			time.Sleep(100 * time.Millisecond)
			tracker.End(OutcomeSucceeded)
		}
		require.Less(t, p.estimates("llm").slotTime.Median(), 500*time.Millisecond, "its own prompt and the answer take 0.3 s")
		require.Equal(t, 2100*time.Millisecond, p.estimates("llm").serviceTime.Median())
	})
}

func mustChoose(t *testing.T, p *Placer) *Choice {
	t.Helper()
	c, err := p.Choose(requestFor(1))
	require.NoError(t, err)
	return c
}

// Guards against responses without events, which come as a whole at their end, counting as if only their prompts had occupied slots.
func TestResponseWithoutEventsOccupiesSlotUntilItsEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newTestPlacer()
		for range 16 {
			r := &Request{Service: "llm", Model: "m", Input: 100}
			c, err := p.Choose(r)
			require.NoError(t, err)
			tracker := p.Begin(c, r)
			time.Sleep(2 * time.Second)
			tracker.MarkActive()
			tracker.End(OutcomeSucceeded)
		}
		require.InDelta(t, 2*time.Second, p.estimates("llm").slotTime.Median(), float64(10*time.Millisecond))
	})
}
