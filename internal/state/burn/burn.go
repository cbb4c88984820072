// Package burn counts service-level indicators by route and organisation and reports how fast the error budgets of
// their objectives are spent: availability, time to first token, time between tokens and moves done on time.
package burn

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

// Event is one request that has ended.
type Event struct {
	Route        ident.RouteID
	Organisation ident.OrganisationID
	// Failed says that the caller did not get a whole answer through no fault of its own.
	Failed bool
	// TTFT is the time to the first token, ITL the mean time between tokens; 0 if there was none.
	TTFT, ITL time.Duration
}

// Recorder counts events. Record may be called from any number of goroutines.
type Recorder struct {
	settings atomic.Pointer[Settings]
	stripes  [stripes]stripe
}

type stripe struct {
	mu     sync.Mutex
	series map[SeriesKey]*series
}

// SeriesKey names a series. The organisation is empty for those that are not counted one by one.
type SeriesKey struct {
	Route        ident.RouteID        `json:"route"`
	Organisation ident.OrganisationID `json:"organisation,omitempty"`
}

// SetSettings takes over objectives; their thresholds apply to later events.
func (r *Recorder) SetSettings(s Settings) { r.settings.Store(&s) }

// Settings returns the objectives in use.
func (r *Recorder) Settings() *Settings {
	if s := r.settings.Load(); s != nil {
		return s
	}
	return &Settings{}
}

// Record counts an event.
func (r *Recorder) Record(e Event) {
	b := r.binOf(&e)
	st := &r.stripes[stripeOf(e.Route, e.Organisation)]
	st.mu.Lock()
	defer st.mu.Unlock()
	st.of(SeriesKey{e.Route, e.Organisation}).add(b, time.Now())
}

func (r *Recorder) binOf(e *Event) bin {
	o := r.Settings().For(e.Route, e.Organisation)
	b := bin{requests: 1}
	if e.Failed {
		b.failed = 1
	}
	if e.TTFT > 0 {
		b.firstTokens = 1
		b.late = one(e.TTFT > o.ttftLimit())
	}
	if e.ITL > 0 {
		b.paced = 1
		b.slow = one(e.ITL > o.itlLimit())
	}
	return b
}

func one(b bool) uint32 {
	if b {
		return 1
	}
	return 0
}

func stripeOf(route ident.RouteID, org ident.OrganisationID) uint64 {
	return (xxhash.Sum64String(string(route)) ^ 3*xxhash.Sum64String(string(org))) % stripes
}

// of returns the series of a key; when the stripe is full, that of its route.
func (st *stripe) of(key SeriesKey) *series {
	if s := st.series[key]; s != nil {
		return s
	}
	if st.series == nil {
		st.series = map[SeriesKey]*series{}
	}
	if len(st.series) >= maxSeries {
		key.Organisation = ""
		if s := st.series[key]; s != nil {
			return s
		}
	}
	s := &series{}
	st.series[key] = s
	return s
}

// SeriesCounts are the counts of one series in every window, in the order of the windows of a report.
type SeriesCounts struct {
	SeriesKey
	Windows [len(windows)]Counts
}

// Counts returns the counts of all series of this daemon and drops series that have been idle.
func (r *Recorder) Counts() []SeriesCounts {
	now := time.Now()
	var all []SeriesCounts
	for i := range r.stripes {
		all = append(all, r.stripes[i].counts(now)...)
	}
	return all
}

func (st *stripe) counts(now time.Time) []SeriesCounts {
	st.mu.Lock()
	defer st.mu.Unlock()
	all := make([]SeriesCounts, 0, len(st.series))
	for key, s := range st.series {
		if now.Sub(s.last) > idleAfter {
			delete(st.series, key)
			continue
		}
		all = append(all, SeriesCounts{SeriesKey: key, Windows: s.windows(now)})
	}
	return all
}
