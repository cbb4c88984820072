package moves

import (
	"context"
	"encoding/json"
	"os"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/gooseberryway/gooseberryway/internal/state/config"
)

// kind is a kind of new version.
type kind struct {
	name string
	good bool
	// oneOrganisation kinds have no bound on the time from the fault to the last request: an organisation may send
	// too few requests.
	oneOrganisation bool
	// fault reports whether the request meets the fault.
	fault func(r request, started time.Time) bool
}

// spoil is the way in which a faulty request goes wrong.
type spoil func(r request, a answer) answer

var spoils = map[string]spoil{
	"fails":     func(_ request, a answer) answer { a.outcome = OutcomeFailed; return a },
	"failsHalf": func(r request, a answer) answer { return half(r, a, OutcomeFailed) },
	"truncates": func(_ request, a answer) answer { a.outcome = OutcomeTruncated; return a },
	"slow":      func(_ request, a answer) answer { a.ttft *= 4; return a },
	"slowTokens": func(_ request, a answer) answer {
		a.itl *= 3
		return a
	},
	"hangs": func(_ request, a answer) answer {
		a.ttft = 30 * time.Second
		a.outcome = OutcomeFailed
		return a
	},
}

func half(r request, a answer, o Outcome) answer {
	if r.rng.Float64() < 0.5 {
		a.outcome = o
	}
	return a
}

const (
	experimentDeadline = 60 * time.Second
	// experimentWarmUp is the time for which the old version serves before the move begins.
	experimentWarmUp = 20 * time.Second
)

var kinds = []kind{
	{name: "good", good: true, fault: func(request, time.Time) bool { return false }},
	{name: "goodNoisy", good: true, fault: noisyWindow},
	{name: "badNow", fault: func(request, time.Time) bool { return true }},
	{name: "badLater", fault: func(r request, started time.Time) bool { return r.at.Sub(started) > 25*time.Second }},
	{name: "badUnderLoad", fault: func(r request, _ time.Time) bool { return r.share >= 500 }},
	{name: "badRoute", fault: func(r request, _ time.Time) bool { return r.Route == "quote" }},
	{name: "badOrganisation", oneOrganisation: true, fault: func(r request, _ time.Time) bool { return r.Organisation == "mill" }},
}

// noisyWindow is one engine that crashes and one second in which a tenth of the requests fail.
func noisyWindow(r request, started time.Time) bool {
	since := r.at.Sub(started)
	return since > 20*time.Second && since < 21*time.Second && r.rng.Float64() < 0.1
}

// result is what became of one move.
type result struct {
	Kind                 string  `json:"kind"`
	Fault                string  `json:"fault"`
	Seed                 uint64  `json:"seed"`
	Outcome              string  `json:"outcome"`
	OnTime               bool    `json:"onTime"`
	BadShare             float64 `json:"badShare"`
	FaultToLastRequestMs int64   `json:"faultToLastRequestMs"`
	Requests             int     `json:"requests"`
	Reason               string  `json:"reason"`
}

// runMove runs one move with traffic to its end or well past its deadline.
func runMove(t *testing.T, k kind, fault string, seed uint64, rate float64) (res result) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		log := newTestLog(0)
		started := time.Now().Add(experimentWarmUp)
		f := newFleet(seed, 6, rate, log, "quote", "note")
		bad := spoils[fault]
		f.answer[newV] = func(r request) answer {
			a := healthy(r)
			if !k.fault(r, started) {
				return a
			}
			a = bad(r, a)
			a.faulty = true
			return a
		}
		ctx, cancel := context.WithTimeout(t.Context(), 2*experimentDeadline)
		defer cancel()
		f.run(ctx)
		time.Sleep(time.Until(started))
		log.begin(experimentDeadline)
		endedAt := f.waitEnded(ctx)
		time.Sleep(time.Until(started.Add(experimentDeadline)))
		cancel()
		f.wg.Wait()
		m := log.move()
		res = result{
			Kind: k.name, Fault: fault, Seed: seed, Outcome: string(m.State), Reason: m.Reason, Requests: f.total,
			OnTime:   !endedAt.IsZero() && !endedAt.After(started.Add(experimentDeadline)),
			BadShare: float64(f.bad) / float64(f.total),
		}
		if !f.firstFault.IsZero() {
			res.FaultToLastRequestMs = f.lastToNew.Sub(f.firstFault).Milliseconds()
		}
	})
	return res
}

func (f *fleet) waitEnded(ctx context.Context) time.Time {
	for ctx.Err() == nil {
		if f.log.move().State.Ended() {
			return time.Now()
		}
		time.Sleep(50 * time.Millisecond)
	}
	return time.Time{}
}

// seeds is how many moves of each kind the experiment runs; the environment variable MOVE_SEEDS sets another number.
func seeds(t *testing.T) int {
	t.Helper()
	raw := os.Getenv("MOVE_SEEDS")
	if raw == "" {
		return 1
	}
	n, err := strconv.Atoi(raw)
	require.NoError(t, err)
	return n
}

// rate is how many requests a second the experiment sends; the environment variable MOVE_RATE sets another number.
func rate(t *testing.T) float64 {
	t.Helper()
	raw := os.Getenv("MOVE_RATE")
	if raw == "" {
		return 60
	}
	perSecond, err := strconv.ParseFloat(raw, 64)
	require.NoError(t, err)
	return perSecond
}

// TestExperiment runs seeded moves of every kind and fault. With MOVE_REPORT it writes a JSON line for each.
func TestExperiment(t *testing.T) {
	var out *json.Encoder
	if report := os.Getenv("MOVE_REPORT"); report != "" {
		file, err := os.Create(report)
		require.NoError(t, err)
		t.Cleanup(func() { file.Close() })
		out = json.NewEncoder(file)
	}
	var mu sync.Mutex
	for _, k := range kinds {
		t.Run(k.name, func(t *testing.T) {
			t.Parallel()
			exposure, runs := 0.0, 0.0
			for seed := range seeds(t) {
				for _, fault := range faultsOf(k) {
					res := runMove(t, k, fault, uint64(seed), rate(t))
					mu.Lock()
					if out != nil {
						assert.NoError(t, out.Encode(res))
					}
					mu.Unlock()
					checkResult(t, k, res)
					exposure += res.BadShare
					runs++
				}
			}
			require.Less(t, exposure/runs, 0.01)
		})
	}
}

func faultsOf(k kind) []string {
	if k.good {
		return []string{"fails"}
	}
	return []string{"fails", "failsHalf", "truncates", "slow", "slowTokens", "hangs"}
}

func checkResult(t *testing.T, k kind, res result) {
	t.Helper()
	if k.good {
		assert.Equal(t, string(config.MoveDone), res.Outcome, "%+v", res)
		assert.True(t, res.OnTime, "%+v", res)
		return
	}
	assert.Equal(t, string(config.MoveTakenBack), res.Outcome, "%+v", res)
	if !k.oneOrganisation {
		assert.Less(t, res.FaultToLastRequestMs, int64(2000), "%+v", res)
	}
}
