package burn

import (
	"encoding/json"
	"fmt"
	"runtime"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/gooseberryway/gooseberryway/internal/state/config"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

// recordEverySecond records one request per second for the duration d. Every failEvery-th request fails; 0 means none.
func recordEverySecond(r *Recorder, d time.Duration, failEvery int) {
	for i := range int(d / time.Second) {
		r.Record(Event{Route: "quote", Organisation: "mill", Failed: failEvery > 0 && i%failEvery == 0, TTFT: 100 * time.Millisecond, ITL: 20 * time.Millisecond})
		time.Sleep(time.Second)
	}
}

func requireRow(t *testing.T, r Report, org ident.OrganisationID, i Indicator) *Row {
	t.Helper()
	for _, row := range r.Rows {
		if row.Organisation == org && row.Indicator == i {
			return &row
		}
	}
	require.Fail(t, "report has no row", "organisation %s, indicator %s", org, i)
	return &Row{}
}

// An alert needs a high burn rate in a long and in a short window, and more than a single bad event.
func TestAlerts(t *testing.T) {
	tests := []struct {
		name  string
		run   func(*Recorder)
		alert Alert
	}{
		{"no failures", func(r *Recorder) { recordEverySecond(r, time.Hour, 0) }, AlertNone},
		{"fast burn", func(r *Recorder) { recordEverySecond(r, time.Hour, 50) }, AlertFast},
		{"slow burn", func(r *Recorder) { recordEverySecond(r, 6*time.Hour, 140) }, AlertSlow},
		{"burn has stopped", func(r *Recorder) { recordEverySecond(r, time.Hour, 20); recordEverySecond(r, 40*time.Minute, 0) }, AlertNone},
		{"single failure", func(r *Recorder) { r.Record(Event{Route: "quote", Organisation: "mill", Failed: true}) }, AlertNone},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var r Recorder
				tt.run(&r)
				require.Equal(t, tt.alert, requireRow(t, r.Report(nil, 0), "mill", Availability).Alert)
			})
		})
	}
}

func TestOldEventsLeaveTheWindows(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var r Recorder
		recordEverySecond(&r, 10*time.Minute, 1)
		totals := func() (n []uint64) {
			for _, w := range requireRow(t, r.Report(nil, 0), "mill", Availability).Windows {
				n = append(n, w.Total)
			}
			return n
		}
		require.Equal(t, []uint64{600, 600, 600, 600}, totals()[1:])
		require.InDelta(t, 300, totals()[0], 60)
		time.Sleep(2 * time.Hour)
		require.Equal(t, []uint64{0, 0, 0, 600, 600}, totals())
		time.Sleep(10 * time.Hour)
		require.Equal(t, []uint64{0, 0, 0, 0, 600}, totals())
		time.Sleep(70 * time.Hour)
		require.Empty(t, r.Report(nil, 0).Rows)
	})
}

func TestLatencyObjectives(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var r Recorder
		r.SetSettings(Settings{
			Default:       Objectives{TTFTMillis: 200},
			Organisations: map[ident.OrganisationID]Objectives{"mill": {TTFTMillis: 50}},
		})
		for _, org := range []ident.OrganisationID{"mill", "audit"} {
			for range 10 {
				r.Record(Event{Route: "quote", Organisation: org, TTFT: 100 * time.Millisecond, ITL: 50 * time.Millisecond})
			}
		}
		report := r.Report(nil, 0)
		require.EqualValues(t, 10, requireRow(t, report, "mill", TTFT).window(Window5m).Bad)
		require.EqualValues(t, 0, requireRow(t, report, "audit", TTFT).window(Window5m).Bad)
		require.EqualValues(t, 10, requireRow(t, report, "", TTFT).window(Window5m).Bad)
		require.EqualValues(t, 20, requireRow(t, report, "", ITL).window(Window5m).Bad)
		require.InDelta(t, 20, requireRow(t, report, "mill", TTFT).window(Window5m).BurnRate, 1e-9)
		require.InDelta(t, -19, requireRow(t, report, "mill", TTFT).BudgetLeft, 1e-9)
	})
}

// The counts of several daemons, also of those that were sent over the wire, must add up in the report.
func TestCombineSumsDaemons(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var a, b Recorder
		recordEverySecond(&a, time.Minute, 2)
		recordEverySecond(&b, time.Minute, 0)
		report := Combine(&Settings{}, nil, 0, a.Counts(), Decode(Encode(b.Counts())))
		row := requireRow(t, report, "mill", Availability)
		require.EqualValues(t, 30, row.window(Window3d).Bad)
		require.EqualValues(t, 120, row.window(Window3d).Total)
		require.Equal(t, 2, report.Daemons)
	})
}

// Moves that are done count as good or late, overdue moves as late. Moves that are still in time, taken back or older than
// the window must not count.
func TestOnTimeMoves(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		state := config.NewState()
		apply := func(e config.Entity) {
			next, err := state.Apply(state.Offset()+1, config.NewRecord("r", "t", 0, e))
			require.NoError(t, err)
			state = next
		}
		apply(&config.Version{ID: "v1", Model: "m", Weights: "w1"})
		apply(&config.Version{ID: "v2", Model: "m", Weights: "w2"})
		apply(&config.Model{ID: "m", CurrentVersion: "v1", BlockTokens: 1024})
		put := func(id string, s config.MoveState, since, deadline time.Duration) {
			route := ident.RouteID("r" + id)
			apply(&config.Route{ID: route, Team: "alder", Kind: config.RouteModel, Model: "m", OnKeyWithdrawal: config.WithdrawalFinish})
			apply(&config.Move{ID: ident.MoveID(id), Team: "alder", Model: "m", Routes: []ident.RouteID{route}, From: "v1", To: "v2", State: s, StateSince: time.Now().Add(since), Deadline: time.Now().Add(deadline)})
		}
		put("onTime", config.MoveDone, -2*time.Hour, -time.Hour)
		put("late", config.MoveDone, -2*time.Hour, -3*time.Hour)
		put("overdue", config.MoveRunning, -2*time.Hour, -time.Minute)
		put("running", config.MoveRunning, -2*time.Hour, time.Hour)
		put("takenBack", config.MoveTakenBack, -2*time.Hour, -3*time.Hour)
		put("old", config.MoveDone, -100*time.Hour, -101*time.Hour)
		var r Recorder
		row := requireRow(t, r.Report(state, 0), "", OnTimeMoves)
		require.EqualValues(t, 3, row.window(Window3d).Total)
		require.EqualValues(t, 2, row.window(Window3d).Bad)
		require.EqualValues(t, 1, row.window(Window5m).Bad)
		require.Equal(t, AlertSlow, row.Alert)
	})
}

// Any number of organisations must not grow the memory without limit, and no event may be lost in the route's total.
func TestFullStripeCountsByRoute(t *testing.T) {
	var r Recorder
	const n = 2 * stripes * maxSeriesPerStripe
	for i := range n {
		r.Record(Event{Route: "quote", Organisation: ident.OrganisationID(fmt.Sprint("org", i))})
	}
	report := r.Report(nil, 1)
	require.Len(t, report.Rows, 1)
	require.Less(t, len(r.Counts()), stripes*(maxSeriesPerStripe+2))
	all := r.Report(nil, 0)
	require.EqualValues(t, n, requireRow(t, all, "", Availability).window(Window3d).Total)
}

func TestReportFormats(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var r Recorder
		recordEverySecond(&r, 5*time.Minute, 4)
		report := r.Report(config.NewState(), 2)
		raw, err := json.Marshal(report)
		require.NoError(t, err)
		require.Contains(t, string(raw), `"budgetLeft"`)
		require.Contains(t, string(raw), `"burnRate"`)
		var out strings.Builder
		require.NoError(t, report.WriteTable(&out))
		require.Contains(t, out.String(), "fast   quote  ")
		require.Contains(t, out.String(), "rows are not shown")
	})
}

func BenchmarkRecord(b *testing.B) {
	var r Recorder
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			r.Record(Event{Route: "quote", Organisation: "mill", TTFT: time.Millisecond, ITL: time.Millisecond})
		}
	})
}

// BenchmarkSeries reports the heap bytes of a series with a single event and of one with events over three days.
func BenchmarkSeries(b *testing.B) {
	for _, hours := range []int{0, 72} {
		b.Run(fmt.Sprintf("hours=%d", hours), func(b *testing.B) {
			const n = 2000
			var before, after runtime.MemStats
			for b.Loop() {
				all := make([]*series, n)
				runtime.GC()
				runtime.ReadMemStats(&before)
				for i := range all {
					all[i] = &series{}
					for h := range hours*60 + 1 {
						all[i].add(bin{requests: 1}, time.Unix(0, 0).Add(time.Duration(h)*time.Minute))
					}
				}
				runtime.GC()
				runtime.ReadMemStats(&after)
				b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/n, "bytes/series")
				runtime.KeepAlive(all)
			}
		})
	}
}
