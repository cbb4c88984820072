package burn

import (
	"cmp"
	"slices"
	"time"

	"github.com/gooseberryway/gooseberryway/internal/state/config"
)

// Indicator is the name of a service-level indicator.
type Indicator string

// Service-level indicators.
const (
	Availability Indicator = "availability"
	TTFT         Indicator = "ttft"
	ITL          Indicator = "itl"
	OnTimeMoves  Indicator = "onTimeMoves"
)

// Alert is the urgency of the burn rate of an error budget.
type Alert string

// Alerts by urgency, least urgent first.
const (
	AlertNone Alert = "none"
	// AlertSlow means that at this burn rate the error budget of three days is spent within 12 hours.
	AlertSlow Alert = "slow"
	// AlertFast means that at this burn rate the error budget of three days is spent within 5 hours.
	AlertFast Alert = "fast"
)

// Report holds the burn rates of all objectives, the most urgent rows first.
type Report struct {
	GeneratedAt time.Time `json:"generatedAt"`
	// Daemons is the number of daemons whose counts are included, DaemonsAsked the number that were asked for theirs.
	Daemons      int   `json:"daemons"`
	DaemonsAsked int   `json:"daemonsAsked"`
	Rows         []Row `json:"rows"`
	// Omitted is the number of rows that were left out because of the limit; they are the least urgent ones.
	Omitted int `json:"omitted"`
}

// Row is one objective of a route (Organisation is empty) or of an organisation on a route. The row of OnTimeMoves has
// neither.
type Row struct {
	SeriesKey
	Indicator Indicator `json:"indicator"`
	// Objective is the promised share of good events, below 1.
	Objective float64 `json:"objective"`
	// ThresholdMs is the latency in milliseconds up to which an event is good; 0 for indicators without a threshold.
	ThresholdMs int64       `json:"thresholdMs,omitempty"`
	Windows     []WindowRow `json:"windows"`
	// BudgetLeft is the share of the error budget of three days that is left; it is negative if the budget is overspent.
	BudgetLeft float64 `json:"budgetLeft"`
	Alert      Alert   `json:"alert"`
}

// WindowRow holds the counts and the burn rate of an objective in one window.
type WindowRow struct {
	Window Window `json:"window"`
	Total  uint64 `json:"total"`
	Bad    uint64 `json:"bad"`
	// BurnRate is the share of bad events divided by the share that the objective allows.
	BurnRate float64 `json:"burnRate"`
}

// Combine sums the counts of several daemons, one part each, and returns the rows of all routes and organisations, at most
// limit of them; a limit of 0 means all. Moves are taken from state; a nil state leaves them out.
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
	rows := objectiveRows(settings, sums)
	if state != nil {
		rows = append(rows, onTimeMovesRow(settings, state, time.Now()))
	}
	slices.SortFunc(rows, compareUrgency)
	report := Report{GeneratedAt: time.Now(), Daemons: len(parts), DaemonsAsked: len(parts), Rows: rows}
	if limit > 0 && len(rows) > limit {
		report.Rows, report.Omitted = rows[:limit], len(rows)-limit
	}
	return report
}

// Report returns the report of the counts of this daemon alone. See Combine for state and limit.
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

func objectiveRows(settings *Settings, sums map[SeriesKey]*[len(windows)]Counts) []Row {
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
		total, bad := counts[i].totalAndBad(indicator)
		row.Windows = append(row.Windows, WindowRow{
			Window: w.name, Total: total, Bad: bad, BurnRate: burnRate(total, bad, objective),
		})
	}
	row.setBudgetAndAlert()
	return row
}

func (c *Counts) totalAndBad(indicator Indicator) (total, bad uint64) {
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

// setBudgetAndAlert sets BudgetLeft and Alert. An alert needs a high burn rate in two windows: in a long one, so that a
// short burst of failures raises none, and in a short one, so that it ends soon after the failures end.
func (r *Row) setBudgetAndAlert() {
	r.BudgetLeft = 1 - r.window(Window3d).BurnRate
	r.Alert = AlertNone
	if r.exceedsBurnRate(Window6h, Window30m, slowBurnRate) {
		r.Alert = AlertSlow
	}
	if r.exceedsBurnRate(Window1h, Window5m, fastBurnRate) {
		r.Alert = AlertFast
	}
}

func (r *Row) exceedsBurnRate(long, short Window, rate float64) bool {
	l, s := r.window(long), r.window(short)
	if l.Total < minAlertRequests || l.Bad < minAlertBad {
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

// onTimeMovesRow counts the moves that are done or past their deadline. A move that was taken back counts neither as good
// nor as bad. Any bad move in the last 6 hours raises AlertSlow.
func onTimeMovesRow(settings *Settings, state *config.State, now time.Time) Row {
	objective := settings.For("", "").OnTimeMoves
	row := Row{Indicator: OnTimeMoves, Objective: objective, Alert: AlertNone}
	for _, w := range windows {
		total, bad := uint64(0), uint64(0)
		for _, m := range state.Moves() {
			counts, late := moveInWindow(m, now, w.length)
			total += uint64(boolToUint32(counts))
			bad += uint64(boolToUint32(counts && late))
		}
		row.Windows = append(row.Windows, WindowRow{w.name, total, bad, burnRate(total, bad, objective)})
	}
	row.BudgetLeft = 1 - row.window(Window3d).BurnRate
	if row.window(Window6h).Bad > 0 {
		row.Alert = AlertSlow
	}
	return row
}

// moveInWindow reports whether a move counts in the window that ends now and whether it missed its deadline.
func moveInWindow(m *config.Move, now time.Time, window time.Duration) (counts, late bool) {
	windowStart := now.Add(-window)
	if m.State == config.MoveDone {
		return m.StateSince.After(windowStart), m.StateSince.After(m.Deadline)
	}
	overdue := !m.State.Ended() && now.After(m.Deadline)
	return overdue && m.Deadline.After(windowStart), overdue
}

// compareUrgency orders rows by alert, then by budget left; the keys make the order deterministic.
func compareUrgency(a, b Row) int {
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
