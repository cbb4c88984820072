package quota

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

// bench drives limiters with actions and faults.
type bench struct {
	*network
	rng      *rand.Rand
	oracle   oracle
	running  sync.WaitGroup
	mutation func(b *bench, l *Limiter, gained bool)

	state struct {
		sync.Mutex
		states  []*world
		forceAt []time.Time
		nodes   map[ident.DaemonID]*node
		logDown bool
	}
}

// node is the state of one daemon outside its limiter.
type node struct {
	incarnation ident.Incarnation
	limiter     *Limiter
	// low and high are the indexes of the states in force and applied.
	low, high int
	cut       bool
	cutAt     time.Time
	lapsed    bool
	life      context.Context
	end       context.CancelFunc
}

const benchDaemons = 5

// randomLimit is the first limit in random runs.
var randomLimit = Limit{Rate: 200, Burst: 2000}

func newBench(seed uint64, limit Limit) *bench {
	b := &bench{network: &network{limiters: map[ident.DaemonID]*Limiter{}}, rng: rand.New(rand.NewPCG(seed, 1))}
	first := &world{members: daemonIDs(benchDaemons), revision: 1, homes: 3, limits: map[ident.OrganisationID]Limit{survey: limit}}
	b.state.states = []*world{first}
	b.state.forceAt = []time.Time{time.Now()}
	b.state.nodes = map[ident.DaemonID]*node{}
	b.oracle.limits = []change{{at: time.Now(), limit: limit}}
	b.fates = b.fate
	for _, id := range first.members {
		b.state.nodes[id] = &node{}
		b.boot(id)
	}
	return b
}

// fate loses messages of daemons that are cut off, and delays and repeats some of the others.
func (b *bench) fate(from, to ident.DaemonID) fate {
	b.state.Lock()
	defer b.state.Unlock()
	f := fate{lost: b.isCut(from) || b.isCut(to) || b.rng.IntN(50) == 0, twice: b.rng.IntN(10) == 0}
	if b.rng.IntN(10) == 0 {
		f.extra = time.Duration(b.rng.IntN(1500)) * time.Millisecond
	}
	return f
}

func (b *bench) isCut(id ident.DaemonID) bool {
	n := b.state.nodes[id]
	return n == nil || n.cut
}

// boot starts a daemon with a new incarnation.
func (b *bench) boot(id ident.DaemonID) {
	b.state.Lock()
	n := b.state.nodes[id]
	n.incarnation++
	n.high = len(b.state.states) - 1
	n.low = b.inForce(time.Now())
	n.lapsed = n.cut
	n.life, n.end = context.WithCancel(context.Background())
	l := &Limiter{Self: id, Incarnation: n.incarnation, Peers: port{network: b.network, self: id}, MaxWait: 300 * time.Millisecond}
	l.HoldsLease = func() bool { return b.serving(n) }
	n.limiter = l
	b.observe(n)
	b.state.Unlock()
	b.mu.Lock()
	b.limiters[id] = l
	b.mu.Unlock()
}

func (b *bench) inForce(now time.Time) int {
	low := 0
	for i, at := range b.state.forceAt {
		if !now.Before(at) {
			low = i
		}
	}
	return low
}

func (b *bench) serving(n *node) bool {
	b.state.Lock()
	defer b.state.Unlock()
	if n.cut && time.Since(n.cutAt) >= leaseTTL {
		n.lapsed = true
	}
	return !n.lapsed
}

// observe gives a daemon its view. The mutex is held.
func (b *bench) observe(n *node) {
	v := View{}
	for _, s := range b.state.states[n.low : n.high+1] {
		v.States = append(v.States, s)
	}
	had := false
	if e, ok := n.limiter.entries.load(survey); ok {
		had = e.bucket != nil
	}
	n.limiter.Observe(v)
	if b.mutation != nil {
		b.mutation(b, n.limiter, !had)
	}
}

func (b *bench) crash(id ident.DaemonID) {
	b.state.Lock()
	n := b.state.nodes[id]
	if n.limiter == nil {
		b.state.Unlock()
		return
	}
	n.limiter = nil
	n.end()
	b.state.Unlock()
	b.stop(id)
}

// commit appends a state: daemons apply it within longestApply unless they are cut off, and it is in force after the grace.
func (b *bench) commit(next func(*world) *world) *world {
	b.state.Lock()
	defer b.state.Unlock()
	if b.state.logDown {
		return nil
	}
	now := time.Now()
	s := next(b.state.states[len(b.state.states)-1])
	index := len(b.state.states)
	b.state.states = append(b.state.states, s)
	b.state.forceAt = append(b.state.forceAt, now.Add(forceGrace))
	for _, n := range b.state.nodes {
		apply := time.Duration(b.rng.Int64N(int64(longestApply)))
		force := forceGrace + time.Duration(b.rng.Int64N(int64(time.Second)))
		time.AfterFunc(apply, func() { b.advance(n, index, 0) })
		time.AfterFunc(force, func() { b.advance(n, index, index) })
	}
	return s
}

func (b *bench) advance(n *node, high, low int) {
	b.state.Lock()
	defer b.state.Unlock()
	if n.cut || n.limiter == nil || n.high >= high && n.low >= low {
		return
	}
	n.high = max(n.high, high)
	n.low = max(n.low, low)
	b.observe(n)
}

func (b *bench) heal(n *node) {
	b.state.Lock()
	defer b.state.Unlock()
	if !n.cut {
		return
	}
	n.cut = false
	if n.limiter == nil {
		return
	}
	n.high = len(b.state.states) - 1
	n.low = b.inForce(time.Now())
	b.observe(n)
	n.lapsed = false
}

// admit sends a request to a daemon and settles it after a while, unless the daemon crashes.
func (b *bench) admit(n *node, a action) {
	b.state.Lock()
	l, life := n.limiter, n.life
	b.state.Unlock()
	if l == nil {
		return
	}
	b.running.Go(func() {
		r, err := l.Admit(life, survey, a.tokens)
		if err != nil {
			return
		}
		c := b.oracle.admit(a.tokens)
		select {
		case <-time.After(a.wait):
		case <-life.Done():
			return
		}
		used := min(a.used, a.tokens)
		b.oracle.end(c, used)
		r.Settle(used)
	})
}

// storm sends several requests to every daemon at once.
func (b *bench) storm(a action) {
	for _, id := range daemonIDs(benchDaemons) {
		for range 5 {
			b.admit(b.state.nodes[id], a)
		}
	}
	time.Sleep(10 * oneWay)
}

// drain spends all that a daemon can admit at once.
func (b *bench) drain(l *Limiter) {
	for _, cost := range []ident.Tokens{200, 50, 10, 3, 1} {
		for range 12 {
			ctx, cancel := context.WithTimeout(context.Background(), 10*time.Millisecond)
			_, err := l.Admit(ctx, survey, cost)
			cancel()
			if err != nil {
				break
			}
			b.oracle.end(b.oracle.admit(cost), cost)
		}
	}
}

func (b *bench) setLimit(limit Limit) {
	if b.commit(func(s *world) *world { return s.limited(survey, limit) }) == nil {
		return
	}
	// The oracle allows the higher of both limits until every daemon has applied the new one.
	now := time.Now()
	last := b.oracle.limits[len(b.oracle.limits)-1].limit
	both := Limit{Rate: max(last.Rate, limit.Rate), Burst: max(last.Burst, limit.Burst)}
	b.oracle.mu.Lock()
	defer b.oracle.mu.Unlock()
	b.oracle.limits = append(b.oracle.limits, change{at: now, limit: both}, change{at: now.Add(forceGrace), limit: limit})
}
