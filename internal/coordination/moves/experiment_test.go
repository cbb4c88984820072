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

// versionKind is a kind of new version: when and for which requests it is faulty.
type versionKind struct {
	name string
	good bool
	// oneOrganisation kinds have no bound on the time from the fault to the last request, as a single organisation
	// may send too few requests.
	oneOrganisation bool
	// isFaulty reports whether the request meets the fault.
	isFaulty func(r request, started time.Time) bool
}

// faultEffect changes the answer to a faulty request.
type faultEffect func(r request, a answer) answer

var faultEffects = map[string]faultEffect{
	"fails":     func(_ request, a answer) answer { a.outcome = OutcomeFailed; return a },
	"failsHalf": func(r request, a answer) answer { return failHalf(r, a, OutcomeFailed) },
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

func failHalf(r request, a answer, o Outcome) answer {
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

var versionKinds = []versionKind{
	{name: "good", good: true, isFaulty: func(request, time.Time) bool { return false }},
	{name: "goodNoisy", good: true, isFaulty: transientFailures},
	{name: "badNow", isFaulty: func(request, time.Time) bool { return true }},
	{name: "badLater", isFaulty: func(r request, started time.Time) bool { return r.at.Sub(started) > 25*time.Second }},
	{name: "badUnderLoad", isFaulty: func(r request, _ time.Time) bool { return r.share >= 500 }},
	{name: "badRoute", isFaulty: func(r request, _ time.Time) bool { return r.Route == "quote" }},
	{name: "badOrganisation", oneOrganisation: true, isFaulty: func(r request, _ time.Time) bool { return r.Organisation == "mill" }},
}

// transientFailures makes a tenth of the requests fail for one second.
func transientFailures(r request, started time.Time) bool {
	since := r.at.Sub(started)
	return since > 20*time.Second && since < 21*time.Second && r.rng.Float64() < 0.1
}

// moveResult is the result of one move.
type moveResult struct {
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

// runMove runs one move with traffic until it has ended and its deadline has passed, at most twice the time to the
// deadline.
func runMove(t *testing.T, k versionKind, fault string, seed uint64, rate float64) (res moveResult) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		log := newTestLog(0)
		started := time.Now().Add(experimentWarmUp)
		f := newFleet(seed, 6, rate, log, "quote", "note")
		effect := faultEffects[fault]
		f.behaviours[newVersion] = func(r request) answer {
			a := healthyAnswer(r)
			if !k.isFaulty(r, started) {
				return a
			}
			a = effect(r, a)
			a.faulty = true
			return a
		}
		ctx, cancel := context.WithTimeout(t.Context(), 2*experimentDeadline)
		defer cancel()
		f.run(ctx)
		time.Sleep(time.Until(started))
		log.createMove(experimentDeadline)
		endedAt := f.waitEnded(ctx)
		time.Sleep(time.Until(started.Add(experimentDeadline)))
		cancel()
		f.wg.Wait()
		m := log.move()
		res = moveResult{
			Kind: k.name, Fault: fault, Seed: seed, Outcome: string(m.State), Reason: m.Reason, Requests: f.total,
			OnTime:   !endedAt.IsZero() && !endedAt.After(started.Add(experimentDeadline)),
			BadShare: float64(f.faulty) / float64(f.total),
		}
		if !f.firstFaultAt.IsZero() {
			res.FaultToLastRequestMs = f.lastToNewAt.Sub(f.firstFaultAt).Milliseconds()
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

// seedCount is how many moves of each kind the tests run; the environment variable MOVE_SEEDS sets another number.
func seedCount(t *testing.T) int {
	t.Helper()
	raw := os.Getenv("MOVE_SEEDS")
	if raw == "" {
		return 1
	}
	n, err := strconv.Atoi(raw)
	require.NoError(t, err)
	return n
}

// requestRate is how many requests a second the experiment sends; the environment variable MOVE_RATE sets another
// number.
func requestRate(t *testing.T) float64 {
	t.Helper()
	raw := os.Getenv("MOVE_RATE")
	if raw == "" {
		return 60
	}
	perSecond, err := strconv.ParseFloat(raw, 64)
	require.NoError(t, err)
	return perSecond
}

// TestExperiment guards against good versions that are taken back and bad ones that are not, or too late. It runs
// seeded moves of every kind of version and fault and bounds the mean share of faulty requests. With MOVE_REPORT it
// writes a JSON line for each move.
func TestExperiment(t *testing.T) {
	var encoder *json.Encoder
	if report := os.Getenv("MOVE_REPORT"); report != "" {
		file, err := os.Create(report)
		require.NoError(t, err)
		t.Cleanup(func() { file.Close() })
		encoder = json.NewEncoder(file)
	}
	var mu sync.Mutex
	for _, k := range versionKinds {
		t.Run(k.name, func(t *testing.T) {
			t.Parallel()
			exposure, runs := 0.0, 0.0
			for seed := range seedCount(t) {
				for _, fault := range faultNames(k) {
					res := runMove(t, k, fault, uint64(seed), requestRate(t))
					mu.Lock()
					if encoder != nil {
						assert.NoError(t, encoder.Encode(res))
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

func faultNames(k versionKind) []string {
	if k.good {
		return []string{"fails"}
	}
	return []string{"fails", "failsHalf", "truncates", "slow", "slowTokens", "hangs"}
}

func checkResult(t *testing.T, k versionKind, res moveResult) {
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
