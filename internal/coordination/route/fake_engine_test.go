package route

import (
	"container/heap"
	"container/list"
	"math/rand/v2"
	"time"

	"github.com/gooseberryway/gooseberryway/internal/state/extern"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

// scheduler runs functions in the order of their times, on the clock of a synctest bubble.
type scheduler struct {
	calls callHeap
	start time.Time
	order int
}

type scheduledCall struct {
	at    time.Duration
	order int
	call  func()
}

type callHeap []scheduledCall

func (e callHeap) Len() int { return len(e) }
func (e callHeap) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].order < e[j].order
}
func (e callHeap) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *callHeap) Push(x any)   { *e = append(*e, x.(scheduledCall)) }
func (e *callHeap) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

func (s *scheduler) now() time.Duration { return time.Since(s.start) }

func (s *scheduler) after(d time.Duration, call func()) {
	s.order++
	heap.Push(&s.calls, scheduledCall{s.now() + d, s.order, call})
}

func (s *scheduler) run(until time.Duration) {
	for len(s.calls) > 0 && s.calls[0].at <= until {
		next := heap.Pop(&s.calls).(scheduledCall)
		time.Sleep(next.at - s.now())
		next.call()
	}
}

// fakeEngine computes one prompt at a time, in order of priority, and caches blocks up to its capacity.
type fakeEngine struct {
	id          ident.UpstreamID
	scheduler   *scheduler
	rng         *rand.Rand
	prefillRate float64 // tokens per second
	capacity    int     // blocks
	incarnation ident.Incarnation
	sequence    ident.Sequence
	down        bool

	blocks       map[ident.BlockHash]*list.Element
	lru          *list.List // front is the most recently used
	queue        []*job
	active       *job
	queuedTokens ident.Tokens
	sinks        func() []*EventSink
	// eventLag and reportLag delay cache events and load reports; eventLossRate is the share of events that are lost.
	eventLag, reportLag time.Duration
	eventLossRate       float64
}

// job is one request at an engine.
type job struct {
	req             *Request
	priority        int
	tokensToCompute ident.Tokens
	onFirstToken    func(cached ident.Tokens)
	onFailure       func()
}

// start brings the engine up with an empty cache and a new incarnation.
func (e *fakeEngine) start() {
	e.blocks, e.lru = map[ident.BlockHash]*list.Element{}, list.New()
	e.incarnation++
	e.sequence, e.down = 0, false
}

// cachedPrefix returns the number of leading blocks of the chain in the cache.
func (e *fakeEngine) cachedPrefix(chain []ident.BlockHash) int {
	for i, hash := range chain {
		if e.blocks[hash] == nil {
			return i
		}
	}
	return len(chain)
}

func (e *fakeEngine) submit(j *job) {
	if e.down {
		e.scheduler.after(time.Millisecond, j.onFailure)
		return
	}
	j.tokensToCompute = j.req.PromptTokens
	e.queuedTokens += j.tokensToCompute
	e.queue = append(e.queue, j)
	if e.active == nil {
		e.startNextJob()
	}
}

// startNextJob starts the queued job with the lowest priority number, if any.
func (e *fakeEngine) startNextJob() {
	e.active = nil
	best := -1
	for i, j := range e.queue {
		if best < 0 || j.priority < e.queue[best].priority {
			best = i
		}
	}
	if best < 0 {
		return
	}
	j := e.queue[best]
	e.queue = append(e.queue[:best], e.queue[best+1:]...)
	e.active = j
	cachedBlocks := e.cachedPrefix(j.req.Chain)
	for _, hash := range j.req.Chain[:cachedBlocks] {
		e.lru.MoveToFront(e.blocks[hash])
	}
	cached := ident.Tokens(cachedBlocks) * j.req.BlockTokens
	e.queuedTokens -= cached
	j.tokensToCompute -= cached
	incarnation := e.incarnation
	e.scheduler.after(time.Duration(float64(j.tokensToCompute)/e.prefillRate*float64(time.Second)), func() {
		if e.incarnation != incarnation || e.down {
			return
		}
		e.queuedTokens -= j.tokensToCompute
		e.addBlocks(j.req.Chain)
		j.onFirstToken(cached)
		e.startNextJob()
	})
}

// addBlocks caches the blocks of a prompt, evicts the least recently used ones and publishes the changes.
func (e *fakeEngine) addBlocks(chain []ident.BlockHash) {
	ev := extern.CacheEvent{}
	for i := len(chain) - 1; i >= 0; i-- {
		hash := chain[i]
		if at := e.blocks[hash]; at != nil {
			e.lru.MoveToFront(at)
			continue
		}
		e.blocks[hash] = e.lru.PushFront(hash)
		ev.Added = append(ev.Added, hash)
	}
	for len(e.blocks) > e.capacity {
		oldest := e.lru.Remove(e.lru.Back()).(ident.BlockHash)
		delete(e.blocks, oldest)
		ev.Removed = append(ev.Removed, oldest)
	}
	if len(ev.Added)+len(ev.Removed) > 0 {
		e.publish(ev)
	}
}

// publish sends a cache event to all daemons after the lag, unless it is lost.
func (e *fakeEngine) publish(ev extern.CacheEvent) {
	e.sequence++
	ev.Position = extern.EnginePosition{Incarnation: e.incarnation, Sequence: e.sequence}
	lost := e.rng.Float64() < e.eventLossRate
	e.scheduler.after(e.eventLag, func() {
		if lost {
			return
		}
		for _, f := range e.sinks() {
			f.CacheEvent(ev)
		}
	})
}

// resync sends one daemon all blocks that are in the cache now.
func (e *fakeEngine) resync(f *EventSink) {
	ev := extern.CacheEvent{
		Position: extern.EnginePosition{Incarnation: e.incarnation, Sequence: e.sequence}, Resync: true,
	}
	for hash := range e.blocks {
		ev.Added = append(ev.Added, hash)
	}
	e.scheduler.after(e.eventLag, func() { f.CacheEvent(ev) })
}

// reportEvery sends all daemons a load report at the given interval.
func (e *fakeEngine) reportEvery(d time.Duration) {
	e.scheduler.after(d, func() { e.reportEvery(d) })
	if e.down {
		return
	}
	rep := extern.LoadReport{
		Incarnation: e.incarnation, Lag: e.reportLag, WaitingRequests: len(e.queue),
		QueuedTokens: e.queuedTokens, Versions: []ident.VersionID{"v1"},
	}
	e.scheduler.after(e.reportLag, func() {
		for _, f := range e.sinks() {
			f.LoadReport(rep)
		}
	})
}

// crash drops the engine's cache and fails its requests; the engine restarts after d.
func (e *fakeEngine) crash(d time.Duration) {
	jobs := e.queue
	if e.active != nil {
		jobs = append(jobs, e.active)
	}
	e.queue, e.active, e.queuedTokens, e.down = nil, nil, 0, true
	e.blocks = map[ident.BlockHash]*list.Element{}
	for _, j := range jobs {
		j.onFailure()
	}
	e.scheduler.after(d, e.start)
}
