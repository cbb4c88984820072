package admit

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/gooseberryway/gooseberryway/internal/state/ident"
	"github.com/gooseberryway/gooseberryway/internal/state/view"
)

const (
	rate            = 150000.0
	slackTokens     = 110000.0
	overageShare    = 0.1
	window          = 8 * time.Second
	daemonCount     = 8
	heartbeatPeriod = 100 * time.Millisecond
)

var organisation = &view.Organisation{ID: "acme", Rate: rate, Burst: rate}

// testFleet simulates daemons that report their usage to each other with each heartbeat, unless partitioned says that a
// report doesn't get from one to another.
type testFleet struct {
	limiters     []*Limiter
	incarnations []uint64
	partitioned  func(from, to int) bool
	// pickDaemon picks the daemon that a request reaches.
	pickDaemon func(rng *rand.Rand) int
}

func newTestFleet() *testFleet {
	f := &testFleet{
		partitioned: func(int, int) bool { return false },
		pickDaemon:  func(rng *rand.Rand) int { return rng.IntN(daemonCount) },
	}
	for range daemonCount {
		f.limiters = append(f.limiters, newLimiter())
		f.incarnations = append(f.incarnations, 1)
	}
	return f
}

func (f *testFleet) exchangeUsage() {
	for from, limiter := range f.limiters {
		usages := limiter.Usage()
		for to, other := range f.limiters {
			if from != to && !f.partitioned(from, to) {
				other.ApplyPeerUsage(ident.DaemonID(fmt.Sprint(from)), f.incarnations[from], usages)
			}
		}
	}
}

func newLimiter() *Limiter {
	return &Limiter{Lookup: func(ident.OrganisationID) *view.Organisation { return organisation }}
}

type admission struct {
	at   time.Duration
	cost float64
}

// run offers requests at rateFactor times the organisation's rate for the duration. It returns the admissions and the
// number of rejected requests.
func (f *testFleet) run(rateFactor float64, duration time.Duration, beforeStep func(at time.Duration)) (admitted []admission, rejected int) {
	rng := rand.New(rand.NewPCG(5, 5))
	startedAt, offered := time.Now(), 0.0
	for at := time.Duration(0); at < duration; at = time.Since(startedAt) {
		beforeStep(at)
		f.exchangeUsage()
		for offered < rateFactor*rate*(at+heartbeatPeriod).Seconds() {
			cost := 500 + rng.Float64()*15000
			offered += cost
			if f.limiters[f.pickDaemon(rng)].Admit(organisation, cost).Admitted {
				admitted = append(admitted, admission{at, cost})
			} else {
				rejected++
			}
		}
		time.Sleep(heartbeatPeriod)
	}
	return admitted, rejected
}

func requireWithinLimit(t *testing.T, admitted []admission) {
	t.Helper()
	limit := (rate*window.Seconds()+rate)*(1+overageShare) + slackTokens
	sum, start := 0.0, 0
	for _, a := range admitted {
		sum += a.cost
		for admitted[start].at <= a.at-window {
			sum -= admitted[start].cost
			start++
		}
		require.LessOrEqual(t, sum, limit, "in the window that ends at %v", a.at)
	}
}

func noChange(time.Duration) {}

func TestOrganisationFarAboveItsRateStaysWithinLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		admitted, _ := newTestFleet().run(7.5, 20*time.Second, noChange)
		requireWithinLimit(t, admitted)
	})
}

func TestOrganisationWithinItsRateIsNeverRejected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet()
		f.exchangeUsage()
		// The daemons run for a second before the traffic starts, because balances start low.
		time.Sleep(time.Second)
		_, rejected := f.run(0.8, 20*time.Second, noChange)
		require.Zero(t, rejected)
	})
}

func TestLimitHoldsDuringPartitions(t *testing.T) {
	for name, partitioned := range map[string]func(from, to int) bool{
		"one daemon isolated":  func(from, to int) bool { return from == 0 || to == 0 },
		"two halves":           func(from, to int) bool { return from < daemonCount/2 != (to < daemonCount/2) },
		"all daemons isolated": func(int, int) bool { return true },
		"one direction":        func(from, _ int) bool { return from < 3 },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newTestFleet()
				admitted, _ := f.run(7.5, 20*time.Second, func(at time.Duration) {
					if at > 3*time.Second && at < 12*time.Second {
						f.partitioned = partitioned
					} else {
						f.partitioned = func(int, int) bool { return false }
					}
				})
				requireWithinLimit(t, admitted)
			})
		})
	}
}

func TestLimitHoldsWhenAllDaemonsRestart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet()
		restarted := false
		admitted, _ := f.run(7.5, 16*time.Second, func(at time.Duration) {
			if at > 6*time.Second && !restarted {
				restarted = true
				for i := range f.limiters {
					f.limiters[i] = newLimiter()
					f.incarnations[i]++
				}
			}
		})
		requireWithinLimit(t, admitted)
	})
}

func TestLimitHoldsWhenCallersMoveToOtherDaemons(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet()
		firstDaemon := 0
		f.pickDaemon = func(rng *rand.Rand) int { return firstDaemon + rng.IntN(daemonCount/2) }
		admitted, _ := f.run(7.5, 16*time.Second, func(at time.Duration) {
			if at > 6*time.Second {
				firstDaemon = daemonCount / 2
			}
		})
		requireWithinLimit(t, admitted)
	})
}

func TestRestartedDaemonAdoptsConvergedBalance(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet()
		f.exchangeUsage()
		time.Sleep(time.Second)
		restarted := -1
		_, rejected := f.run(0.6, 20*time.Second, func(at time.Duration) {
			if next := int(at / (3 * time.Second)); next > restarted && next < daemonCount && at > 3*time.Second {
				restarted = next
				f.limiters[next] = newLimiter()
				f.incarnations[next]++
			}
		})
		require.Zero(t, rejected)
	})
}

func TestLoweredLimitAppliesAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		limiter := newLimiter()
		require.True(t, limiter.Admit(organisation, 1000).Admitted)
		time.Sleep(2 * time.Second)
		lowered := &view.Organisation{ID: "acme", Rate: 1000, Burst: 1000}
		spent := 0.0
		for limiter.Admit(lowered, 500).Admitted {
			spent += 500
		}
		require.LessOrEqual(t, spent, 1000+maxOverdraftTokens)
	})
}

func TestRetryAfterIsWhenBalanceSuffices(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		limiter := newLimiter()
		var d Decision
		for d = limiter.Admit(organisation, 20000); d.Admitted; d = limiter.Admit(organisation, 20000) {
		}
		time.Sleep(d.RetryAfter)
		require.True(t, limiter.Admit(organisation, 20000).Admitted)
	})
}

func TestRefundRestoresBalance(t *testing.T) {
	limiter := newLimiter()
	before := limiter.Admit(organisation, 5000).Balance
	limiter.Refund(organisation, 5000)
	require.InDelta(t, before, limiter.Admit(organisation, 1).Balance, rate/100)
	require.InDelta(t, 1, limiter.Usage()["acme"].Admitted, 0.01)
}

func TestNothingIsChargedForIdleDaemons(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		limiter := newLimiter()
		for i := range 80 {
			id := ident.DaemonID(fmt.Sprint("idle", i))
			limiter.ApplyPeerUsage(id, 1, nil)
			limiter.MarkIdle(id)
		}
		time.Sleep(3 * time.Second)
		d := limiter.Admit(organisation, 1000)
		require.True(t, d.Admitted)
		require.Zero(t, d.SilentPeers)
		require.InDelta(t, rate, d.Balance, rate/100, "nothing is charged for silent idle daemons")
		before := limiter.Admit(organisation, 0).Balance
		limiter.ApplyPeerUsage("idle7", 1, map[ident.OrganisationID]Usage{"acme": {Admitted: 4000}})
		limiter.MarkIdle("idle7")
		require.InDelta(t, before-4000, limiter.Admit(organisation, 0).Balance, 1, "what an idle daemon reports is charged")
	})
}

func TestIdleDaemonAdoptsBalanceOnTakeover(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		busy, idle := newLimiter(), newLimiter()
		for busy.Admit(organisation, 1000).Admitted {
		}
		time.Sleep(convergenceTime + time.Millisecond)
		for busy.Admit(organisation, 1000).Admitted {
		}
		idle.AdoptBalances(busy.Usage())
		require.False(t, idle.Admit(organisation, 30000).Admitted)
	})
}

// Guards against a daemon that refuses requests within the rate for as long as it didn't hear its peers, as what these are presumed to
// have admitted adds up below zero: when it is asked again after a while, and when it removes them one after the other.
func TestSilentPeersDoNotLeaveBalanceFarBelowZero(t *testing.T) {
	const peers, silence = 40, 15 * time.Second
	for name, removed := range map[string]bool{"asked again after the silence": false, "removed one after the other": true} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				limiter := newLimiter()
				report := map[ident.OrganisationID]Usage{"acme": {Admitted: 10}}
				id := func(i int) ident.DaemonID { return ident.DaemonID(fmt.Sprint("d", i)) }
				for range 100 {
					for i := range peers {
						limiter.ApplyPeerUsage(id(i), 1, report)
					}
					time.Sleep(heartbeatPeriod)
				}
				require.True(t, limiter.Admit(organisation, 10).Admitted)
				time.Sleep(silence)
				for i := range peers - 1 {
					if removed {
						limiter.RemovePeer(id(i))
						limiter.Admit(organisation, 0)
					}
				}
				require.GreaterOrEqual(t, limiter.Admit(organisation, 0).Balance, 0.0)
				// What the peers report then is charged in place of the presumption, and the balance refills at the rate.
				for range time.Second / heartbeatPeriod {
					for i := range peers {
						limiter.ApplyPeerUsage(id(i), 1, report)
					}
					time.Sleep(heartbeatPeriod)
				}
				d := limiter.Admit(organisation, 0.9*rate)
				require.True(t, d.Admitted, "balance %v", d.Balance)
			})
		})
	}
}
