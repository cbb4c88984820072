package quota

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

// simulation runs limiters of a small fleet with random actions and faults.
type simulation struct {
	*network
	rng      *rand.Rand
	oracle   oracle
	requests sync.WaitGroup
	// mutation, if set, is called after each view; gainedBucket is true when the daemon had no bucket before it.
	mutation func(sim *simulation, l *Limiter, gainedBucket bool)

	state struct {
		sync.Mutex
		states    []*testState
		inForceAt []time.Time
		nodes     map[ident.DaemonID]*node
		logDown   bool
	}
}

// node is the state of one daemon outside its limiter.
type node struct {
	incarnation ident.Incarnation
	limiter     *Limiter
	// inForceIndex and appliedIndex are the indexes of the newest states in force and applied.
	inForceIndex, appliedIndex int
	partitioned                bool
	partitionedAt              time.Time
	leaseExpired               bool
	ctx                        context.Context
	cancel                     context.CancelFunc
}

const simulatedDaemons = 5

// initialLimit is the limit at the start of random runs.
var initialLimit = Limit{Rate: 200, Burst: 2000}

func newSimulation(seed uint64, limit Limit) *simulation {
	sim := &simulation{network: &network{limiters: map[ident.DaemonID]*Limiter{}}, rng: rand.New(rand.NewPCG(seed, 1))}
	initial := &testState{
		members: daemonIDs(simulatedDaemons), revision: 1, homeCount: 3, limits: map[ident.OrganisationID]Limit{testOrg: limit},
	}
	sim.state.states = []*testState{initial}
	sim.state.inForceAt = []time.Time{time.Now()}
	sim.state.nodes = map[ident.DaemonID]*node{}
	sim.oracle.limits = []limitChange{{validFrom: time.Now(), limit: limit}}
	sim.faults = sim.randomFault
	for _, id := range initial.members {
		sim.state.nodes[id] = &node{}
		sim.startDaemon(id)
	}
	return sim
}

// randomFault loses all messages from and to partitioned daemons, and loses, duplicates and delays some of the
// others.
func (sim *simulation) randomFault(from, to ident.DaemonID) messageFault {
	sim.state.Lock()
	defer sim.state.Unlock()
	f := messageFault{
		lost:       sim.isPartitioned(from) || sim.isPartitioned(to) || sim.rng.IntN(50) == 0,
		duplicated: sim.rng.IntN(10) == 0,
	}
	if sim.rng.IntN(10) == 0 {
		f.extraDelay = time.Duration(sim.rng.IntN(1500)) * time.Millisecond
	}
	return f
}

func (sim *simulation) isPartitioned(id ident.DaemonID) bool {
	n := sim.state.nodes[id]
	return n == nil || n.partitioned
}

// startDaemon starts a daemon with a new incarnation.
func (sim *simulation) startDaemon(id ident.DaemonID) {
	sim.state.Lock()
	n := sim.state.nodes[id]
	n.incarnation++
	n.appliedIndex = len(sim.state.states) - 1
	n.inForceIndex = sim.inForceIndex(time.Now())
	n.leaseExpired = n.partitioned
	n.ctx, n.cancel = context.WithCancel(context.Background())
	l := &Limiter{Self: id, Incarnation: n.incarnation, Peers: endpoint{network: sim.network, self: id}, MaxWait: 300 * time.Millisecond}
	l.HoldsLease = func() bool { return sim.serving(n) }
	n.limiter = l
	sim.observe(n)
	sim.state.Unlock()
	sim.mu.Lock()
	sim.limiters[id] = l
	sim.mu.Unlock()
}

func (sim *simulation) inForceIndex(now time.Time) int {
	index := 0
	for i, at := range sim.state.inForceAt {
		if !now.Before(at) {
			index = i
		}
	}
	return index
}

func (sim *simulation) serving(n *node) bool {
	sim.state.Lock()
	defer sim.state.Unlock()
	if n.partitioned && time.Since(n.partitionedAt) >= simulatedLeaseTTL {
		n.leaseExpired = true
	}
	return !n.leaseExpired
}

// observe gives a daemon its view. The mutex of the state is held.
func (sim *simulation) observe(n *node) {
	v := View{}
	for _, s := range sim.state.states[n.inForceIndex : n.appliedIndex+1] {
		v.States = append(v.States, s)
	}
	hadBucket := false
	if o, ok := n.limiter.orgLimiters.load(testOrg); ok {
		hadBucket = o.bucket != nil
	}
	n.limiter.Observe(v)
	if sim.mutation != nil {
		sim.mutation(sim, n.limiter, !hadBucket)
	}
}

func (sim *simulation) crash(id ident.DaemonID) {
	sim.state.Lock()
	n := sim.state.nodes[id]
	if n.limiter == nil {
		sim.state.Unlock()
		return
	}
	n.limiter = nil
	n.cancel()
	sim.state.Unlock()
	sim.stop(id)
}

// commit appends a state. Daemons apply it within maxApplyDelay unless they are partitioned; it is in force after
// inForceDelay.
func (sim *simulation) commit(next func(*testState) *testState) *testState {
	sim.state.Lock()
	defer sim.state.Unlock()
	if sim.state.logDown {
		return nil
	}
	now := time.Now()
	s := next(sim.state.states[len(sim.state.states)-1])
	index := len(sim.state.states)
	sim.state.states = append(sim.state.states, s)
	sim.state.inForceAt = append(sim.state.inForceAt, now.Add(inForceDelay))
	for _, n := range sim.state.nodes {
		applyDelay := time.Duration(sim.rng.Int64N(int64(maxApplyDelay)))
		inForceAfter := inForceDelay + time.Duration(sim.rng.Int64N(int64(time.Second)))
		time.AfterFunc(applyDelay, func() { sim.applyState(n, index, 0) })
		time.AfterFunc(inForceAfter, func() { sim.applyState(n, index, index) })
	}
	return s
}

func (sim *simulation) applyState(n *node, appliedIndex, inForceIndex int) {
	sim.state.Lock()
	defer sim.state.Unlock()
	if n.partitioned || n.limiter == nil || n.appliedIndex >= appliedIndex && n.inForceIndex >= inForceIndex {
		return
	}
	n.appliedIndex = max(n.appliedIndex, appliedIndex)
	n.inForceIndex = max(n.inForceIndex, inForceIndex)
	sim.observe(n)
}

func (sim *simulation) heal(n *node) {
	sim.state.Lock()
	defer sim.state.Unlock()
	if !n.partitioned {
		return
	}
	n.partitioned = false
	if n.limiter == nil {
		return
	}
	n.appliedIndex = len(sim.state.states) - 1
	n.inForceIndex = sim.inForceIndex(time.Now())
	sim.observe(n)
	n.leaseExpired = false
}

// admit sends a request to a daemon and settles it after a while, unless the daemon crashes first.
func (sim *simulation) admit(n *node, a action) {
	sim.state.Lock()
	l, ctx := n.limiter, n.ctx
	sim.state.Unlock()
	if l == nil {
		return
	}
	sim.requests.Go(func() {
		r, err := l.Admit(ctx, testOrg, a.tokens)
		if err != nil {
			return
		}
		c := sim.oracle.admit(a.tokens)
		select {
		case <-time.After(a.wait):
		case <-ctx.Done():
			return
		}
		used := min(a.used, a.tokens)
		sim.oracle.settle(c, used)
		r.Settle(used)
	})
}

// flood sends several requests to every daemon at once.
func (sim *simulation) flood(a action) {
	for _, id := range daemonIDs(simulatedDaemons) {
		for range 5 {
			sim.admit(sim.state.nodes[id], a)
		}
	}
	time.Sleep(10 * oneWayDelay)
}

// spendAll spends all that a daemon can admit at once.
func (sim *simulation) spendAll(l *Limiter) {
	for _, cost := range []ident.Tokens{200, 50, 10, 3, 1} {
		for range 12 {
			ctx, cancel := context.WithTimeout(context.Background(), 10*time.Millisecond)
			_, err := l.Admit(ctx, testOrg, cost)
			cancel()
			if err != nil {
				break
			}
			sim.oracle.settle(sim.oracle.admit(cost), cost)
		}
	}
}

func (sim *simulation) setLimit(limit Limit) {
	if sim.commit(func(s *testState) *testState { return s.withLimit(testOrg, limit) }) == nil {
		return
	}
	// The oracle allows the higher of both limits until the new one is in force.
	now := time.Now()
	last := sim.oracle.limits[len(sim.oracle.limits)-1].limit
	higher := Limit{Rate: max(last.Rate, limit.Rate), Burst: max(last.Burst, limit.Burst)}
	sim.oracle.mu.Lock()
	defer sim.oracle.mu.Unlock()
	sim.oracle.limits = append(sim.oracle.limits, limitChange{validFrom: now, limit: higher},
		limitChange{validFrom: now.Add(inForceDelay), limit: limit})
}
