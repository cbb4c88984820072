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
	rate     = 150000.0
	slack    = 110000.0
	overage  = 0.1
	window   = 8 * time.Second
	daemons  = 8
	beatStep = 100 * time.Millisecond
)

var organisation = &view.Organisation{ID: "acme", Rate: rate, Burst: rate}

// fleetOf plays daemons that tell each other their counts with each beat, unless cut says that one doesn't hear another.
type fleetOf struct {
	meters []*Limiter
	born   []uint64
	cut    func(from, to int) bool
	// entry picks the daemon that a request reaches.
	entry func(rng *rand.Rand) int
}

func newFleet() *fleetOf {
	f := &fleetOf{
		cut:   func(int, int) bool { return false },
		entry: func(rng *rand.Rand) int { return rng.IntN(daemons) },
	}
	for range daemons {
		f.meters = append(f.meters, newMeter())
		f.born = append(f.born, 1)
	}
	return f
}

func (f *fleetOf) beat() {
	for from, m := range f.meters {
		uses := m.Usage()
		for to, other := range f.meters {
			if from != to && !f.cut(from, to) {
				other.ApplyPeerUsage(ident.DaemonID(fmt.Sprint(from)), f.born[from], uses)
			}
		}
	}
}

func newMeter() *Limiter {
	return &Limiter{Lookup: func(ident.OrganisationID) *view.Organisation { return organisation }}
}

type admission struct {
	at   time.Duration
	cost float64
}

// play offers load times the rate for so long and returns what was admitted and how many requests were refused.
func (f *fleetOf) play(load float64, length time.Duration, step func(at time.Duration)) (admitted []admission, refused int) {
	rng := rand.New(rand.NewPCG(5, 5))
	begun, offered := time.Now(), 0.0
	for at := time.Duration(0); at < length; at = time.Since(begun) {
		step(at)
		f.beat()
		for offered < load*rate*(at+beatStep).Seconds() {
			cost := 500 + rng.Float64()*15000
			offered += cost
			if f.meters[f.entry(rng)].Admit(organisation, cost).Admitted {
				admitted = append(admitted, admission{at, cost})
			} else {
				refused++
			}
		}
		time.Sleep(beatStep)
	}
	return admitted, refused
}

func requireWithinLimit(t *testing.T, admitted []admission) {
	t.Helper()
	most := (rate*window.Seconds()+rate)*(1+overage) + slack
	sum, first := 0.0, 0
	for _, a := range admitted {
		sum += a.cost
		for admitted[first].at <= a.at-window {
			sum -= admitted[first].cost
			first++
		}
		require.LessOrEqual(t, sum, most, "in the window that ends at %v", a.at)
	}
}

func quiet(time.Duration) {}

func TestAnOrganisationFarOverItsRateStaysWithinItsLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		admitted, _ := newFleet().play(7.5, 20*time.Second, quiet)
		requireWithinLimit(t, admitted)
	})
}

func TestAnOrganisationWithinItsRateIsNotRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet()
		f.beat()
		// The daemons are up before the traffic comes: balances start empty.
		time.Sleep(time.Second)
		_, refused := f.play(0.8, 20*time.Second, quiet)
		require.Zero(t, refused)
	})
}

func TestTheLimitHoldsWhileDaemonsDoNotHearEachOther(t *testing.T) {
	for name, cut := range map[string]func(from, to int) bool{
		"one alone":  func(from, to int) bool { return from == 0 || to == 0 },
		"two halves": func(from, to int) bool { return from < daemons/2 != (to < daemons/2) },
		"all alone":  func(int, int) bool { return true },
		"one way":    func(from, _ int) bool { return from < 3 },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet()
				admitted, _ := f.play(7.5, 20*time.Second, func(at time.Duration) {
					if at > 3*time.Second && at < 12*time.Second {
						f.cut = cut
					} else {
						f.cut = func(int, int) bool { return false }
					}
				})
				requireWithinLimit(t, admitted)
			})
		})
	}
}

func TestTheLimitHoldsWhenAllDaemonsRestart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet()
		restarted := false
		admitted, _ := f.play(7.5, 16*time.Second, func(at time.Duration) {
			if at > 6*time.Second && !restarted {
				restarted = true
				for i := range f.meters {
					f.meters[i] = newMeter()
					f.born[i]++
				}
			}
		})
		requireWithinLimit(t, admitted)
	})
}

func TestTheLimitHoldsWhenCallersMoveToDaemonsThatNeverSawThem(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet()
		first := 0
		f.entry = func(rng *rand.Rand) int { return first + rng.IntN(daemons/2) }
		admitted, _ := f.play(7.5, 16*time.Second, func(at time.Duration) {
			if at > 6*time.Second {
				first = daemons / 2
			}
		})
		requireWithinLimit(t, admitted)
	})
}

func TestARestartedDaemonTakesTheBalanceOfThoseWhoKnow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet()
		f.beat()
		time.Sleep(time.Second)
		restarted := -1
		_, refused := f.play(0.6, 20*time.Second, func(at time.Duration) {
			if next := int(at / (3 * time.Second)); next > restarted && next < daemons && at > 3*time.Second {
				restarted = next
				f.meters[next] = newMeter()
				f.born[next]++
			}
		})
		require.Zero(t, refused)
	})
}

func TestALowerLimitHoldsAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newMeter()
		require.True(t, m.Admit(organisation, 1000).Admitted)
		time.Sleep(2 * time.Second)
		low := &view.Organisation{ID: "acme", Rate: 1000, Burst: 1000}
		spent := 0.0
		for m.Admit(low, 500).Admitted {
			spent += 500
		}
		require.LessOrEqual(t, spent, 1000+overdraft)
	})
}

func TestRetryAfterIsWhenTheBalanceSuffices(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newMeter()
		var d Decision
		for d = m.Admit(organisation, 20000); d.Admitted; d = m.Admit(organisation, 20000) {
		}
		time.Sleep(d.RetryAfter)
		require.True(t, m.Admit(organisation, 20000).Admitted)
	})
}

func TestWhatDidNotRunIsGivenBack(t *testing.T) {
	m := newMeter()
	before := m.Admit(organisation, 5000).Balance
	m.Refund(organisation, 5000)
	require.InDelta(t, before, m.Admit(organisation, 1).Balance, rate/100)
	require.InDelta(t, 1, m.Usage()["acme"].Admitted, 0.01)
}

func TestDaemonsWithoutTrafficTakeNothingFromThoseWithIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newMeter()
		for i := range 80 {
			id := ident.DaemonID(fmt.Sprint("idle", i))
			m.ApplyPeerUsage(id, 1, nil)
			m.MarkIdle(id)
		}
		time.Sleep(3 * time.Second)
		d := m.Admit(organisation, 1000)
		require.True(t, d.Admitted)
		require.Zero(t, d.SilentPeers)
		require.InDelta(t, rate, d.Balance, rate/100, "nothing is taken off for silent daemons that rest")
		before := m.Admit(organisation, 0).Balance
		m.ApplyPeerUsage("idle7", 1, map[ident.OrganisationID]Usage{"acme": {Admitted: 4000}})
		m.MarkIdle("idle7")
		require.InDelta(t, before-4000, m.Admit(organisation, 0).Balance, 1, "what one of them admits counts")
	})
}

func TestADaemonThatTakesOverKnowsTheBalance(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		busy, idle := newMeter(), newMeter()
		for busy.Admit(organisation, 1000).Admitted {
		}
		time.Sleep(settledAfter + time.Millisecond)
		for busy.Admit(organisation, 1000).Admitted {
		}
		idle.AdoptBalances(busy.Usage())
		require.False(t, idle.Admit(organisation, 30000).Admitted)
	})
}
