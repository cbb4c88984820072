package quota

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"github.com/gooseberryway/gooseberryway/internal/protocol/wire"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

var schemeTime = flag.Duration("schemetime", 3*time.Second, "simulated time of each run that compares schemes")

// scheme is a way to share the limits between daemons.
type scheme interface {
	// admit charges a request that arrives at a daemon.
	admit(ctx context.Context, daemon int, org ident.OrganisationID, cost ident.Tokens) (*Reservation, error)
	// settle ends a request of a daemon.
	settle(daemon int, org ident.OrganisationID, r *Reservation, used ident.Tokens)
	// traffic returns the bytes and messages between daemons so far.
	traffic() (bytes, messages int)
	close()
}

// shares is the product: homes mint shares and grant tokens.
type shares struct {
	*network
	ids []ident.DaemonID
}

func (s *shares) admit(ctx context.Context, daemon int, org ident.OrganisationID, cost ident.Tokens) (*Reservation, error) {
	return s.limiters[s.ids[daemon]].Admit(ctx, org, cost)
}

func (s *shares) settle(_ int, _ ident.OrganisationID, r *Reservation, used ident.Tokens) {
	r.Settle(used)
}

func (s *shares) traffic() (bytes, messages int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.bytes, s.messages
}

// equalSplit gives every daemon an equal part of each limit.
type equalSplit struct{ parts []*network }

func (s *equalSplit) admit(ctx context.Context, daemon int, org ident.OrganisationID, cost ident.Tokens) (*Reservation, error) {
	return s.parts[daemon].limiters["d00"].Admit(ctx, org, cost)
}

func (s *equalSplit) settle(_ int, _ ident.OrganisationID, r *Reservation, used ident.Tokens) {
	r.Settle(used)
}

func (s *equalSplit) traffic() (bytes, messages int) { return 0, 0 }

func (s *equalSplit) close() {
	for _, part := range s.parts {
		part.close()
	}
}

// centralOwner asks one daemon for each request. With no daemons it is the omniscient bucket.
type centralOwner struct {
	*network
	daemons  int
	settling sync.WaitGroup
}

func (s *centralOwner) remote(daemon int, org ident.OrganisationID) bool {
	return s.daemons > 0 && daemon != int(org[len(org)-1])%s.daemons
}

func (s *centralOwner) message(m proto.Message) {
	s.mu.Lock()
	s.bytes += proto.Size(m)
	s.messages++
	s.mu.Unlock()
	time.Sleep(oneWay)
}

func (s *centralOwner) admit(ctx context.Context, daemon int, org ident.OrganisationID, cost ident.Tokens) (*Reservation, error) {
	remote := s.remote(daemon, org)
	if remote {
		s.message(&wire.GrantRequest{
			DaemonId: "d00", Incarnation: 1, Sequence: 1000,
			Asks: []*wire.GrantAsk{{OrganisationId: string(org), Tokens: int64(cost)}},
		})
	}
	r, err := s.limiters["d00"].Admit(ctx, org, cost)
	if remote {
		s.message(&wire.GrantResponse{
			Answers: []*wire.GrantAnswer{{OrganisationId: string(org), Tokens: int64(cost), GrantId: 1}},
		})
	}
	return r, err
}

func (s *centralOwner) settle(daemon int, org ident.OrganisationID, r *Reservation, used ident.Tokens) {
	s.settling.Go(func() {
		if s.remote(daemon, org) {
			s.message(&wire.GrantRequest{DaemonId: "d00", Incarnation: 1, Sequence: 1000, Asks: []*wire.GrantAsk{{
				OrganisationId: string(org),
				Settlements:    []*wire.GrantSettlement{{GrantId: 1, Spent: int64(used), Unused: 1}},
			}}})
		}
		r.Settle(used)
	})
}

func (s *centralOwner) traffic() (bytes, messages int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.bytes, s.messages
}

func (s *centralOwner) close() {
	s.settling.Wait()
	s.network.close()
}

// arrival is a request of a workload.
type arrival struct {
	at         time.Duration
	org        ident.OrganisationID
	daemon     int
	cost, used ident.Tokens
	runs       time.Duration
}

// result is what became of an arrival.
type result struct {
	admitted bool
	wait     time.Duration
}

// load is the traffic of one organisation as a part of its rate.
type load struct {
	org    ident.OrganisationID
	part   float64
	daemon func(rng *rand.Rand, at time.Duration, daemons int) int
}

func atOne(_ *rand.Rand, _ time.Duration, daemons int) int { return daemons - 1 }

func moving(_ *rand.Rand, at time.Duration, daemons int) int {
	return int(at/(2*time.Second)) * 3 % daemons
}

func anywhere(rng *rand.Rand, _ time.Duration, daemons int) int { return rng.IntN(daemons) }

var loads = []load{
	{"even0", 0.6, anywhere}, {"even1", 0.9, anywhere}, {"one2", 0.6, atOne}, {"one3", 0.9, atOne},
	{"moving4", 0.6, moving}, {"moving5", 0.9, moving}, {"storm6", 4, anywhere}, {"storm7", 4, atOne},
}

var loadLimit = Limit{Rate: 20_000, Burst: 40_000}

// workload draws arrivals with costs of 100 to 1,900 tokens; a request uses half of its cost on average.
func workload(daemons int) []arrival {
	rng := rand.New(rand.NewPCG(7, uint64(daemons)))
	var all []arrival
	for _, l := range loads {
		perSecond := l.part * float64(loadLimit.Rate) / 500
		for at := 0.0; at < schemeTime.Seconds(); at += rng.ExpFloat64() / perSecond {
			moment := time.Duration(at * float64(time.Second))
			cost := ident.Tokens(100 + rng.IntN(1801))
			all = append(all, arrival{
				at: moment, org: l.org, daemon: l.daemon(rng, moment, daemons),
				cost: cost, used: ident.Tokens(rng.Int64N(int64(cost) + 1)),
				runs: time.Duration(rng.IntN(2000)) * time.Millisecond,
			})
		}
	}
	slices.SortFunc(all, func(a, b arrival) int { return int(a.at - b.at) })
	return all
}

func limitsOf(divisor int) map[ident.OrganisationID]Limit {
	limits := make(map[ident.OrganisationID]Limit)
	for _, l := range loads {
		limits[l.org] = Limit{
			Rate:  loadLimit.Rate / ident.TokensPerSecond(divisor),
			Burst: loadLimit.Burst / ident.Tokens(divisor),
		}
	}
	return limits
}

const patience = 250 * time.Millisecond

// measured is the outcome of a run.
type measured struct {
	results         []result
	over            ident.Tokens
	bytes, messages int
}

// play runs a workload on a scheme.
func play(t *testing.T, arrivals []arrival, build func() scheme) measured {
	t.Helper()
	m := measured{results: make([]result, len(arrivals))}
	synctest.Test(t, func(*testing.T) {
		s := build()
		oracles := make(map[ident.OrganisationID]*oracle)
		for _, l := range loads {
			oracles[l.org] = &oracle{limits: []change{{at: time.Now(), limit: loadLimit}}}
		}
		time.Sleep(5 * time.Second)
		start := time.Now()
		var wg sync.WaitGroup
		for i, a := range arrivals {
			time.Sleep(time.Until(start.Add(a.at)))
			wg.Go(func() {
				r, err := s.admit(context.Background(), a.daemon, a.org, a.cost)
				m.results[i] = result{admitted: err == nil, wait: time.Since(start.Add(a.at))}
				if err != nil {
					return
				}
				c := oracles[a.org].admit(a.cost)
				time.Sleep(a.runs)
				oracles[a.org].end(c, a.used)
				s.settle(a.daemon, a.org, r, a.used)
			})
		}
		wg.Wait()
		m.bytes, m.messages = s.traffic()
		s.close()
		for _, o := range oracles {
			over, _ := o.over()
			m.over += over
		}
	})
	return m
}

// TestSchemes compares ways to share limits on the same arrivals. Run it with -v -schemetime=20s for figures.
func TestSchemes(t *testing.T) {
	for _, daemons := range []int{8, 64} {
		arrivals := workload(daemons)
		best := play(t, arrivals, func() scheme {
			n, _ := newFleet(1, patience, limitsOf(1))
			return &centralOwner{network: n}
		})
		schemes := map[string]func() scheme{
			"central owner": func() scheme {
				n, _ := newFleet(1, patience, limitsOf(1))
				return &centralOwner{network: n, daemons: daemons}
			},
			"equal split": func() scheme {
				s := &equalSplit{}
				for range daemons {
					n, _ := newFleet(1, patience, limitsOf(daemons))
					s.parts = append(s.parts, n)
				}
				return s
			},
			"shares with grants": func() scheme {
				n, w := newFleet(daemons, patience, limitsOf(1))
				return &shares{network: n, ids: w.members}
			},
		}
		for _, name := range []string{"central owner", "equal split", "shares with grants"} {
			m := play(t, arrivals, schemes[name])
			t.Logf("%d daemons, %d arrivals, %s: %s", daemons, len(arrivals), name, compare(arrivals, best, m, daemons))
			require.Zero(t, m.over, name)
		}
	}
}

// compare describes a run beside the omniscient bucket.
func compare(arrivals []arrival, best, m measured, daemons int) string {
	wrong := map[bool]int{}
	total := map[bool]int{}
	worst, byOrg, sum := ident.OrganisationID(""), map[ident.OrganisationID]int{}, map[ident.OrganisationID]int{}
	var added []time.Duration
	var tokens, bestTokens ident.Tokens
	for i, r := range m.results {
		storm := strings.HasPrefix(string(arrivals[i].org), "storm")
		if r.admitted {
			added = append(added, max(0, r.wait-best.results[i].wait*time.Duration(boolInt(best.results[i].admitted))))
		}
		if storm && r.admitted {
			tokens += arrivals[i].used
		}
		if !best.results[i].admitted {
			continue
		}
		if storm {
			bestTokens += arrivals[i].used
		}
		total[storm]++
		sum[arrivals[i].org]++
		if !r.admitted {
			wrong[storm]++
			if !storm {
				byOrg[arrivals[i].org]++
			}
		}
	}
	for org, n := range byOrg {
		if worst == "" || n > byOrg[worst] {
			worst = org
		}
	}
	slices.Sort(added)
	return fmt.Sprintf("over %d, refused within rate %d of %d (worst %s %d of %d), storms got %.1f %% of the best tokens, added p50 %v p99 %v, %.0f B/s and %.1f messages/s a daemon",
		m.over, wrong[false], total[false], worst, byOrg[worst], sum[worst], 100*float64(tokens)/float64(bestTokens),
		added[len(added)/2], added[len(added)*99/100],
		float64(m.bytes)/schemeTime.Seconds()/float64(daemons), float64(m.messages)/schemeTime.Seconds()/float64(daemons))
}

func boolInt(b bool) int {
	if b {
		return 1
	}
	return 0
}
