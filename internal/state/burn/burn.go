// Package burn counts good and bad events by route and organisation and computes the burn rates of the service-level
// objectives: availability, time to first token (TTFT), inter-token latency (ITL) and moves done on time. It works on the
// outcomes of finished requests and on the moves in the configuration.
package burn

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

// Event is the outcome of one finished request.
type Event struct {
	Route        ident.RouteID
	Organisation ident.OrganisationID
	// Failed reports that the caller did not get a complete answer, for a reason other than its own fault.
	Failed bool
	// TTFT is the time to the first token, ITL the mean time between tokens; 0 if it was not observed.
	TTFT, ITL time.Duration
}

// Recorder counts the events of this daemon. It is safe for concurrent use.
type Recorder struct {
	settings atomic.Pointer[Settings]
	stripes  [stripes]stripe
}

// stripe is one of the independently locked parts of a Recorder.
type stripe struct {
	mu     sync.Mutex
	series map[SeriesKey]*series
}

// SeriesKey identifies a series. The organisation is empty for a series of a route that is not counted by organisation.
type SeriesKey struct {
	Route        ident.RouteID        `json:"route"`
	Organisation ident.OrganisationID `json:"organisation,omitempty"`
}

// SetSettings replaces the objectives. Their latency thresholds apply to later events only.
func (r *Recorder) SetSettings(s Settings) { r.settings.Store(&s) }

// Settings returns the current objectives; they must not be modified.
func (r *Recorder) Settings() *Settings {
	if s := r.settings.Load(); s != nil {
		return s
	}
	return &Settings{}
}

// Record counts an event at the current time.
func (r *Recorder) Record(e Event) {
	b := r.newBin(&e)
	st := &r.stripes[stripeIndex(e.Route, e.Organisation)]
	st.mu.Lock()
	defer st.mu.Unlock()
	st.seriesFor(SeriesKey{e.Route, e.Organisation}).add(b, time.Now())
}

func (r *Recorder) newBin(e *Event) bin {
	o := r.Settings().For(e.Route, e.Organisation)
	b := bin{requests: 1}
	if e.Failed {
		b.failed = 1
	}
	if e.TTFT > 0 {
		b.firstTokens = 1
		b.lateFirstTokens = boolToUint32(e.TTFT > o.ttftThreshold())
	}
	if e.ITL > 0 {
		b.itlSamples = 1
		b.slowITLSamples = boolToUint32(e.ITL > o.itlThreshold())
	}
	return b
}

func boolToUint32(b bool) uint32 {
	if b {
		return 1
	}
	return 0
}

func stripeIndex(route ident.RouteID, org ident.OrganisationID) uint64 {
	return (xxhash.Sum64String(string(route)) ^ 3*xxhash.Sum64String(string(org))) % stripes
}

// seriesFor returns the series of the key, or that of its route without organisation if the stripe is full.
func (st *stripe) seriesFor(key SeriesKey) *series {
	if s := st.series[key]; s != nil {
		return s
	}
	if st.series == nil {
		st.series = map[SeriesKey]*series{}
	}
	if len(st.series) >= maxSeriesPerStripe {
		key.Organisation = ""
		if s := st.series[key]; s != nil {
			return s
		}
	}
	s := &series{}
	st.series[key] = s
	return s
}

// SeriesCounts holds the counts of one series in every window, in the order of the windows in a report.
type SeriesCounts struct {
	SeriesKey
	Windows [len(windows)]Counts
}

// Counts returns the counts of all series of this daemon. It drops series without an event for seriesIdleTimeout.
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
		if now.Sub(s.lastEvent) > seriesIdleTimeout {
			delete(st.series, key)
			continue
		}
		all = append(all, SeriesCounts{SeriesKey: key, Windows: s.windows(now)})
	}
	return all
}
