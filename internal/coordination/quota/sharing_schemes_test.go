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

// homeShares is the scheme of this package: homes with shares that grant tokens.
type homeShares struct {
	*network
	ids []ident.DaemonID
}

func (s *homeShares) admit(ctx context.Context, daemon int, org ident.OrganisationID, cost ident.Tokens) (*Reservation, error) {
	return s.limiters[s.ids[daemon]].Admit(ctx, org, cost)
}

func (s *homeShares) settle(_ int, _ ident.OrganisationID, r *Reservation, used ident.Tokens) {
	r.Settle(used)
}

func (s *homeShares) traffic() (bytes, messages int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.bytes, s.messages
}

// equalSplit gives every daemon an equal part of each limit, without messages.
type equalSplit struct{ networks []*network }

func (s *equalSplit) admit(ctx context.Context, daemon int, org ident.OrganisationID, cost ident.Tokens) (*Reservation, error) {
	return s.networks[daemon].limiters["d00"].Admit(ctx, org, cost)
}

func (s *equalSplit) settle(_ int, _ ident.OrganisationID, r *Reservation, used ident.Tokens) {
	r.Settle(used)
}

func (s *equalSplit) traffic() (bytes, messages int) { return 0, 0 }

func (s *equalSplit) close() {
	for _, part := range s.networks {
		part.close()
	}
}

// centralOwner sends every request to one daemon that owns the whole limit. With daemons = 0 it is the baseline: one
// bucket that every daemon reaches without delay.
type centralOwner struct {
	*network
	daemons     int
	settlements sync.WaitGroup
}

func (s *centralOwner) isRemote(daemon int, org ident.OrganisationID) bool {
	return s.daemons > 0 && daemon != int(org[len(org)-1])%s.daemons
}

func (s *centralOwner) sendMessage(m proto.Message) {
	s.mu.Lock()
	s.bytes += proto.Size(m)
	s.messages++
	s.mu.Unlock()
	time.Sleep(oneWayDelay)
}

func (s *centralOwner) admit(ctx context.Context, daemon int, org ident.OrganisationID, cost ident.Tokens) (*Reservation, error) {
	remote := s.isRemote(daemon, org)
	if remote {
		s.sendMessage(&wire.GrantRequest{
			DaemonId: "d00", Incarnation: 1, Sequence: 1000,
			Asks: []*wire.GrantAsk{{OrganisationId: string(org), Tokens: int64(cost)}},
		})
	}
	r, err := s.limiters["d00"].Admit(ctx, org, cost)
	if remote {
		s.sendMessage(&wire.GrantResponse{
			Answers: []*wire.GrantAnswer{{OrganisationId: string(org), Tokens: int64(cost), GrantId: 1}},
		})
	}
	return r, err
}

func (s *centralOwner) settle(daemon int, org ident.OrganisationID, r *Reservation, used ident.Tokens) {
	s.settlements.Go(func() {
		if s.isRemote(daemon, org) {
			s.sendMessage(&wire.GrantRequest{DaemonId: "d00", Incarnation: 1, Sequence: 1000, Asks: []*wire.GrantAsk{{
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
	s.settlements.Wait()
	s.network.close()
}

// arrival is a request of a workload.
type arrival struct {
	at         time.Duration
	org        ident.OrganisationID
	daemon     int
	cost, used ident.Tokens
	duration   time.Duration
}

// result is the outcome of an arrival.
type result struct {
	admitted bool
	wait     time.Duration
}

// orgLoad is the traffic of one organisation, as a fraction of its rate.
type orgLoad struct {
	org          ident.OrganisationID
	rateFraction float64
	daemon       func(rng *rand.Rand, at time.Duration, daemons int) int
}

func lastDaemon(_ *rand.Rand, _ time.Duration, daemons int) int { return daemons - 1 }

func movingDaemon(_ *rand.Rand, at time.Duration, daemons int) int {
	return int(at/(2*time.Second)) * 3 % daemons
}

func randomDaemon(rng *rand.Rand, _ time.Duration, daemons int) int { return rng.IntN(daemons) }

var orgLoads = []orgLoad{
	{"even0", 0.6, randomDaemon}, {"even1", 0.9, randomDaemon}, {"one2", 0.6, lastDaemon}, {"one3", 0.9, lastDaemon},
	{"moving4", 0.6, movingDaemon}, {"moving5", 0.9, movingDaemon}, {"storm6", 4, randomDaemon}, {"storm7", 4, lastDaemon},
}

var loadLimit = Limit{Rate: 20_000, Burst: 40_000}

// workload draws arrivals with costs of 100 to 1,900 tokens; a request uses half of its cost on average.
func workload(daemons int) []arrival {
	rng := rand.New(rand.NewPCG(7, uint64(daemons)))
	var arrivals []arrival
	for _, l := range orgLoads {
		perSecond := l.rateFraction * float64(loadLimit.Rate) / 500
		for at := 0.0; at < schemeTime.Seconds(); at += rng.ExpFloat64() / perSecond {
			arrivesAt := time.Duration(at * float64(time.Second))
			cost := ident.Tokens(100 + rng.IntN(1801))
			arrivals = append(arrivals, arrival{
				at: arrivesAt, org: l.org, daemon: l.daemon(rng, arrivesAt, daemons),
				cost: cost, used: ident.Tokens(rng.Int64N(int64(cost) + 1)),
				duration: time.Duration(rng.IntN(2000)) * time.Millisecond,
			})
		}
	}
	slices.SortFunc(arrivals, func(a, b arrival) int { return int(a.at - b.at) })
	return arrivals
}

func limitsOf(divisor int) map[ident.OrganisationID]Limit {
	limits := make(map[ident.OrganisationID]Limit)
	for _, l := range orgLoads {
		limits[l.org] = Limit{
			Rate:  loadLimit.Rate / ident.TokensPerSecond(divisor),
			Burst: loadLimit.Burst / ident.Tokens(divisor),
		}
	}
	return limits
}

const schemeMaxWait = 250 * time.Millisecond

// runResult is the outcome of a run.
type runResult struct {
	results         []result
	excess          ident.Tokens
	bytes, messages int
}

// simulateScheme runs a workload on a scheme, in simulated time.
func simulateScheme(t *testing.T, arrivals []arrival, build func() scheme) runResult {
	t.Helper()
	m := runResult{results: make([]result, len(arrivals))}
	synctest.Test(t, func(*testing.T) {
		s := build()
		oracles := make(map[ident.OrganisationID]*oracle)
		for _, l := range orgLoads {
			oracles[l.org] = &oracle{limits: []limitChange{{validFrom: time.Now(), limit: loadLimit}}}
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
				time.Sleep(a.duration)
				oracles[a.org].settle(c, a.used)
				s.settle(a.daemon, a.org, r, a.used)
			})
		}
		wg.Wait()
		m.bytes, m.messages = s.traffic()
		s.close()
		for _, o := range oracles {
			over, _ := o.excess()
			m.excess += over
		}
	})
	return m
}

// Guards against a scheme that admits more than the limit, on the same arrivals for each. With -v it logs how the
// schemes compare with the baseline; -schemetime=20s gives steadier figures.
func TestCompareSharingSchemes(t *testing.T) {
	for _, daemons := range []int{8, 64} {
		arrivals := workload(daemons)
		baseline := simulateScheme(t, arrivals, func() scheme {
			n, _ := newFleet(1, schemeMaxWait, limitsOf(1))
			return &centralOwner{network: n}
		})
		schemes := map[string]func() scheme{
			"central owner": func() scheme {
				n, _ := newFleet(1, schemeMaxWait, limitsOf(1))
				return &centralOwner{network: n, daemons: daemons}
			},
			"equal split": func() scheme {
				s := &equalSplit{}
				for range daemons {
					n, _ := newFleet(1, schemeMaxWait, limitsOf(daemons))
					s.networks = append(s.networks, n)
				}
				return s
			},
			"shares with grants": func() scheme {
				n, state := newFleet(daemons, schemeMaxWait, limitsOf(1))
				return &homeShares{network: n, ids: state.members}
			},
		}
		for _, name := range []string{"central owner", "equal split", "shares with grants"} {
			m := simulateScheme(t, arrivals, schemes[name])
			t.Logf("%d daemons, %d arrivals, %s: %s", daemons, len(arrivals), name, describeRun(arrivals, baseline, m, daemons))
			require.Zero(t, m.excess, name)
		}
	}
}

// describeRun compares a run with the baseline.
func describeRun(arrivals []arrival, baseline, m runResult, daemons int) string {
	wronglyRefused := map[bool]int{}
	baselineAdmitted := map[bool]int{}
	worstOrg, wronglyRefusedByOrg, baselineAdmittedByOrg :=
		ident.OrganisationID(""), map[ident.OrganisationID]int{}, map[ident.OrganisationID]int{}
	var addedDelays []time.Duration
	var admittedTokens, baselineTokens ident.Tokens
	for i, r := range m.results {
		overRate := strings.HasPrefix(string(arrivals[i].org), "storm")
		if r.admitted {
			addedDelays = append(addedDelays, max(0, r.wait-baseline.results[i].wait*time.Duration(boolInt(baseline.results[i].admitted))))
		}
		if overRate && r.admitted {
			admittedTokens += arrivals[i].used
		}
		if !baseline.results[i].admitted {
			continue
		}
		if overRate {
			baselineTokens += arrivals[i].used
		}
		baselineAdmitted[overRate]++
		baselineAdmittedByOrg[arrivals[i].org]++
		if !r.admitted {
			wronglyRefused[overRate]++
			if !overRate {
				wronglyRefusedByOrg[arrivals[i].org]++
			}
		}
	}
	for org, n := range wronglyRefusedByOrg {
		if worstOrg == "" || n > wronglyRefusedByOrg[worstOrg] {
			worstOrg = org
		}
	}
	slices.Sort(addedDelays)
	return fmt.Sprintf("%d tokens above the limits, refused within rate %d of %d (worst %s %d of %d), organisations over their rate got %.1f %% of the baseline's tokens, added p50 %v p99 %v, %.0f B/s and %.1f messages/s per daemon",
		m.excess, wronglyRefused[false], baselineAdmitted[false],
		worstOrg, wronglyRefusedByOrg[worstOrg], baselineAdmittedByOrg[worstOrg],
		100*float64(admittedTokens)/float64(baselineTokens),
		addedDelays[len(addedDelays)/2], addedDelays[len(addedDelays)*99/100],
		float64(m.bytes)/schemeTime.Seconds()/float64(daemons), float64(m.messages)/schemeTime.Seconds()/float64(daemons))
}

func boolInt(b bool) int {
	if b {
		return 1
	}
	return 0
}
