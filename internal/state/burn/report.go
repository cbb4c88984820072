package burn

import (
	"cmp"
	"slices"
	"time"

	"github.com/gooseberryway/gooseberryway/internal/state/config"
)

// Indicator names a service-level indicator.
type Indicator string

// Indicators.
const (
	Availability Indicator = "availability"
	TTFT         Indicator = "ttft"
	ITL          Indicator = "itl"
	OnTimeMoves  Indicator = "onTimeMoves"
)

// Alert tells how urgent the burn of a budget is.
type Alert string

// Alerts.
const (
	AlertNone Alert = "none"
	// AlertSlow: the budget of three days is spent within half a day at this rate.
	AlertSlow Alert = "slow"
	// AlertFast: the budget of three days is spent within five hours at this rate.
	AlertFast Alert = "fast"
)

// Report is the burn of all objectives, the most urgent rows first.
type Report struct {
	GeneratedAt time.Time `json:"generatedAt"`
	// Daemons is the number of daemons whose counts are in the report, of DaemonsAsked.
	Daemons      int   `json:"daemons"`
	DaemonsAsked int   `json:"daemonsAsked"`
	Rows         []Row `json:"rows"`
	// Omitted is the number of rows left out, all of them less urgent than those shown.
	Omitted int `json:"omitted"`
}

// Row is one objective of a route, or of one organisation on it.
type Row struct {
	SeriesKey
	Indicator Indicator `json:"indicator"`
	// Objective is the promised part of good events.
	Objective float64 `json:"objective"`
	// ThresholdMs is the longest good latency; 0 for indicators without one.
	ThresholdMs int64       `json:"thresholdMs,omitempty"`
	Windows     []WindowRow `json:"windows"`
	// BudgetLeft is the part of the three days' error budget that is left; below 0 it is overspent.
	BudgetLeft float64 `json:"budgetLeft"`
	Alert      Alert   `json:"alert"`
}

// WindowRow is an objective in one window.
type WindowRow struct {
	Window Window `json:"window"`
	Total  uint64 `json:"total"`
	Bad    uint64 `json:"bad"`
	// BurnRate is the part of bad events over the part that the objective allows.
	BurnRate float64 `json:"burnRate"`
}

// Combine adds up the counts of daemons and returns the rows of all routes and organisations, at most limit of them;
// 0 is no limit. state is where moves are read from; nil leaves them out.
func Combine(settings *Settings, state *config.State, limit int, parts ...[]SeriesCounts) Report {
	sums := map[SeriesKey]*[len(windows)]Counts{}
	for _, part := range parts {
		for i := range part {
			addSeries(sums, part[i].SeriesKey, &part[i].Windows)
			if part[i].Organisation != "" {
				addSeries(sums, SeriesKey{Route: part[i].Route}, &part[i].Windows)
			}
		}
	}
	rows := rowsOf(settings, sums)
	if state != nil {
		rows = append(rows, movesRow(settings, state, time.Now()))
	}
	slices.SortFunc(rows, compareRows)
	report := Report{GeneratedAt: time.Now(), Daemons: len(parts), DaemonsAsked: len(parts), Rows: rows}
	if limit > 0 && len(rows) > limit {
		report.Rows, report.Omitted = rows[:limit], len(rows)-limit
	}
	return report
}

// Report returns the burn as this daemon alone has counted it.
func (r *Recorder) Report(state *config.State, limit int) Report {
	return Combine(r.Settings(), state, limit, r.Counts())
}

func addSeries(sums map[SeriesKey]*[len(windows)]Counts, key SeriesKey, counts *[len(windows)]Counts) {
	sum := sums[key]
	if sum == nil {
		sum = &[len(windows)]Counts{}
		sums[key] = sum
	}
	for i := range counts {
		sum[i].add(counts[i])
	}
}

func rowsOf(settings *Settings, sums map[SeriesKey]*[len(windows)]Counts) []Row {
	rows := make([]Row, 0, 3*len(sums))
	for key, counts := range sums {
		o := settings.For(key.Route, key.Organisation)
		for _, row := range []Row{
			newRow(key, Availability, o.Availability, 0, counts),
			newRow(key, TTFT, o.TTFT, o.TTFTMillis, counts),
			newRow(key, ITL, o.ITL, o.ITLMillis, counts),
		} {
			if row.Windows[len(windows)-1].Total > 0 {
				rows = append(rows, row)
			}
		}
	}
	return rows
}

func newRow(key SeriesKey, indicator Indicator, objective float64, threshold int64, counts *[len(windows)]Counts) Row {
	row := Row{SeriesKey: key, Indicator: indicator, Objective: objective, ThresholdMs: threshold}
	for i, w := range windows {
		total, bad := counts[i].of(indicator)
		row.Windows = append(row.Windows, WindowRow{
			Window: w.name, Total: total, Bad: bad, BurnRate: burnRate(total, bad, objective),
		})
	}
	row.judge()
	return row
}

func (c *Counts) of(indicator Indicator) (total, bad uint64) {
	switch indicator {
	case TTFT:
		return c.FirstTokens, c.LateFirstTokens
	case ITL:
		return c.ITLSamples, c.SlowITLSamples
	default:
		return c.Requests, c.Failed
	}
}

func burnRate(total, bad uint64, objective float64) float64 {
	if total == 0 {
		return 0
	}
	return float64(bad) / float64(total) / (1 - objective)
}

// judge sets the budget left and the alert. Each alert needs a long window, which shows that the burn matters, and a
// short one, which shows that it still goes on.
func (r *Row) judge() {
	r.BudgetLeft = 1 - r.window(Window3d).BurnRate
	r.Alert = AlertNone
	if r.burns(Window6h, Window30m, slowBurn) {
		r.Alert = AlertSlow
	}
	if r.burns(Window1h, Window5m, fastBurn) {
		r.Alert = AlertFast
	}
}

func (r *Row) burns(long, short Window, rate float64) bool {
	l, s := r.window(long), r.window(short)
	if l.Total < minRequests || l.Bad < minBad {
		return false
	}
	return l.BurnRate >= rate && s.BurnRate >= rate
}

func (r *Row) window(name Window) WindowRow {
	for _, w := range r.Windows {
		if w.Window == name {
			return w
		}
	}
	return WindowRow{}
}

// movesRow counts the moves of the last three days that are done or past their deadline. A move that was taken back
// counts for neither side.
func movesRow(settings *Settings, state *config.State, now time.Time) Row {
	objective := settings.For("", "").OnTimeMoves
	row := Row{Indicator: OnTimeMoves, Objective: objective, Alert: AlertNone}
	for _, w := range windows {
		total, bad := uint64(0), uint64(0)
		for _, m := range state.Moves() {
			counts, late := onTime(m, now, w.length)
			total += uint64(one(counts))
			bad += uint64(one(counts && late))
		}
		row.Windows = append(row.Windows, WindowRow{w.name, total, bad, burnRate(total, bad, objective)})
	}
	row.BudgetLeft = 1 - row.window(Window3d).BurnRate
	if row.window(Window6h).Bad > 0 {
		row.Alert = AlertSlow
	}
	return row
}

// onTime reports whether a move counts in the window that ends now and whether it is late.
func onTime(m *config.Move, now time.Time, window time.Duration) (counts, late bool) {
	from := now.Add(-window)
	if m.State == config.MoveDone {
		return m.StateSince.After(from), m.StateSince.After(m.Deadline)
	}
	overdue := !m.State.Ended() && now.After(m.Deadline)
	return overdue && m.Deadline.After(from), overdue
}

func compareRows(a, b Row) int {
	return cmp.Or(
		cmp.Compare(alertRank(b.Alert), alertRank(a.Alert)),
		cmp.Compare(a.BudgetLeft, b.BudgetLeft),
		cmp.Compare(a.Route, b.Route),
		cmp.Compare(a.Organisation, b.Organisation),
		cmp.Compare(a.Indicator, b.Indicator),
	)
}

func alertRank(a Alert) int {
	switch a {
	case AlertFast:
		return 2
	case AlertSlow:
		return 1
	default:
		return 0
	}
}
