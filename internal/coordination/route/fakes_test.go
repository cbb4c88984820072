package route

import (
	"container/heap"
	"container/list"
	"math/rand/v2"
	"time"

	"github.com/gooseberryway/gooseberryway/internal/state/extern"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

// timeline runs functions in the order of their times on the clock of a synctest bubble.
type timeline struct {
	events events
	start  time.Time
	order  int
}

type timedCall struct {
	at    time.Duration
	order int
	call  func()
}

type events []timedCall

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].order < e[j].order
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(timedCall)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

func (l *timeline) now() time.Duration { return time.Since(l.start) }

func (l *timeline) after(d time.Duration, call func()) {
	l.order++
	heap.Push(&l.events, timedCall{l.now() + d, l.order, call})
}

func (l *timeline) run(until time.Duration) {
	for len(l.events) > 0 && l.events[0].at <= until {
		next := heap.Pop(&l.events).(timedCall)
		time.Sleep(next.at - l.now())
		next.call()
	}
}

// fakeEngine computes one prompt at a time, by priority, and caches blocks up to a limit.
type fakeEngine struct {
	id          ident.UpstreamID
	line        *timeline
	rng         *rand.Rand
	rate        float64 // tokens a second
	capacity    int     // blocks
	incarnation ident.Incarnation
	sequence    ident.Sequence
	down        bool

	blocks map[ident.BlockHash]*list.Element
	lru    *list.List // front is the most recently used
	queue  []*job
	active *job
	queued ident.Tokens
	feeds  func() []*EventSink
	// eventLag and reportLag are how late events and reports come; gaps is the part of events that are lost.
	eventLag, reportLag time.Duration
	gaps                float64
}

// job is one request at an engine.
type job struct {
	req      *Request
	priority int
	computed ident.Tokens
	first    func(cached ident.Tokens)
	failed   func()
}

func (e *fakeEngine) boot() {
	e.blocks, e.lru = map[ident.BlockHash]*list.Element{}, list.New()
	e.incarnation++
	e.sequence, e.down = 0, false
}

func (e *fakeEngine) held(chain []ident.BlockHash) int {
	for i, hash := range chain {
		if e.blocks[hash] == nil {
			return i
		}
	}
	return len(chain)
}

func (e *fakeEngine) submit(j *job) {
	if e.down {
		e.line.after(time.Millisecond, j.failed)
		return
	}
	j.computed = j.req.PromptTokens
	e.queued += j.computed
	e.queue = append(e.queue, j)
	if e.active == nil {
		e.next()
	}
}

func (e *fakeEngine) next() {
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
	held := e.held(j.req.Chain)
	for _, hash := range j.req.Chain[:held] {
		e.lru.MoveToFront(e.blocks[hash])
	}
	cached := ident.Tokens(held) * j.req.BlockTokens
	e.queued -= cached
	j.computed -= cached
	incarnation := e.incarnation
	e.line.after(time.Duration(float64(j.computed)/e.rate*float64(time.Second)), func() {
		if e.incarnation != incarnation || e.down {
			return
		}
		e.queued -= j.computed
		e.cache(j.req.Chain)
		j.first(cached)
		e.next()
	})
}

// cache stores the blocks of a prompt and publishes what has changed.
func (e *fakeEngine) cache(chain []ident.BlockHash) {
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

func (e *fakeEngine) publish(ev extern.CacheEvent) {
	e.sequence++
	ev.Position = extern.EnginePosition{Incarnation: e.incarnation, Sequence: e.sequence}
	lost := e.rng.Float64() < e.gaps
	e.line.after(e.eventLag, func() {
		if lost {
			return
		}
		for _, f := range e.feeds() {
			f.CacheEvent(ev)
		}
	})
}

// resync sends one daemon all blocks that the engine holds, as of now.
func (e *fakeEngine) resync(f *EventSink) {
	ev := extern.CacheEvent{
		Position: extern.EnginePosition{Incarnation: e.incarnation, Sequence: e.sequence}, Resync: true,
	}
	for hash := range e.blocks {
		ev.Added = append(ev.Added, hash)
	}
	e.line.after(e.eventLag, func() { f.CacheEvent(ev) })
}

func (e *fakeEngine) reportEvery(d time.Duration) {
	e.line.after(d, func() { e.reportEvery(d) })
	if e.down {
		return
	}
	rep := extern.LoadReport{
		Incarnation: e.incarnation, Lag: e.reportLag, WaitingRequests: len(e.queue),
		QueuedTokens: e.queued, Versions: []ident.VersionID{"v1"},
	}
	e.line.after(e.reportLag, func() {
		for _, f := range e.feeds() {
			f.LoadReport(rep)
		}
	})
}

// crash loses the engine's cache and requests; it comes back empty after a time.
func (e *fakeEngine) crash(d time.Duration) {
	jobs := e.queue
	if e.active != nil {
		jobs = append(jobs, e.active)
	}
	e.queue, e.active, e.queued, e.down = nil, nil, 0, true
	e.blocks = map[ident.BlockHash]*list.Element{}
	for _, j := range jobs {
		j.failed()
	}
	e.line.after(d, e.boot)
}
