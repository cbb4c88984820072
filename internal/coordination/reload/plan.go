// Package reload brings engines to the named version of their model: a few at a time, the least busy first, with
// traffic moved off before an engine loads. The plan is pure; the runner carries it out.
package reload

import (
	"cmp"
	"slices"
	"time"

	"github.com/gooseberryway/gooseberryway/internal/state/ident"
	"github.com/gooseberryway/gooseberryway/internal/state/view"
)

const (
	// quietMost is how long an engine gets no work before it is ordered to load, unless it is idle sooner: runs that
	// go on under changed weights are lost to their callers, but so is the engine while it waits.
	quietMost = 650 * time.Millisecond
	// quietLeast lets the other daemons hear of it first.
	quietLeast = 50 * time.Millisecond
	// quietLead is how long before the end of a load the next engine stops taking work; most answers end within it.
	quietLead = 400 * time.Millisecond
	// checkAgain is the time between two looks at an engine that loads.
	checkAgain = 100 * time.Millisecond
	// barMargin is how much longer than expected an engine is kept off.
	barMargin = 400 * time.Millisecond
	// reportLag is how old an engine's report is: the pages say some hundred milliseconds.
	reportLag = 150 * time.Millisecond
	// avoidFor is how long an engine is left alone that is not the one listed or gives no reports: the list forgets one
	// that has ended after some seconds.
	avoidFor = 2 * time.Second
	// reportsLost in a row end a load whose engine gives none.
	reportsLost = 3
	// overdueLeast is when an order without effect is given again at the earliest, overdueLoads the same in loads.
	overdueLeast = 2500 * time.Millisecond
	overdueLoads = 3
)

// phase is how far an engine's load has come.
type phase uint8

const (
	// phaseQuiet: the engine gets no new work.
	phaseQuiet phase = iota
	// phaseLoading: the engine was ordered to load.
	phaseLoading
)

// job is the load of one engine.
type job struct {
	engine  *view.Upstream
	model   ident.ModelID
	version int64
	phase   phase
	since   time.Time
	// checkAt is when to look at the engine next.
	checkAt time.Time
	// busyAt is when a report last showed that the engine loads.
	busyAt time.Time
	// beside is the largest number of engines that loaded at the same time, this one included.
	beside int
	// calling is true while an order or a look is under way, asked once the engine was asked how it is before its order.
	calling, asked bool
	// tries counts orders, lost the reports in a row that did not come.
	tries, lost int
}

// endsWithin reports whether the engine is expected to have its weights after so long. Before a load was timed nothing is
// expected, and a load that outlasts the time expected may take any time.
func (j *job) endsWithin(d time.Duration, p *pace, now time.Time) bool {
	if j.phase != phaseLoading || !p.known() || now.Sub(j.since) > p.expected+reportLag {
		return false
	}
	return now.Add(d).Sub(j.since) >= p.expected-reportLag
}

// overdue reports whether an order seems to have come to nothing.
func (j *job) overdue(p *pace, now time.Time) bool {
	limit := max(overdueLeast, overdueLoads*p.expected)
	return j.phase == phaseLoading && !j.calling && now.Sub(j.since) > limit && now.Sub(j.busyAt) > overdueLeast/2
}

// candidate is an engine that has an older version.
type candidate struct {
	engine *view.Upstream
	// has is the version that the engine is known to have, version the one that it shall have.
	has, version int64
	requests     int
}

// out counts the engines of a service that take no work.
type out struct {
	// quiet get no work and are not ordered yet, loading were ordered and are not expected to have finished; all are these
	// and those that are expected to have finished.
	quiet, loading, all int
	// ending are those of loading that end so soon that the next may become quiet.
	ending int
}

func countOut(jobs map[ident.UpstreamID]*job, p *pace, now time.Time) out {
	var o out
	for _, j := range jobs {
		o.all++
		switch {
		case j.phase == phaseQuiet:
			o.quiet++
		case !j.endsWithin(0, p, now):
			o.loading++
			if j.endsWithin(quietLead, p, now) {
				o.ending++
			}
		}
	}
	return o
}

// next picks the engines that shall stop taking work now: as many as may load, and those that follow them in time for
// no load to wait.
func next(all, atOnce int, o out, candidates []candidate) []candidate {
	room := min(atOnce-o.quiet-o.loading+o.ending, max(atOnce, widest(all))-o.all)
	if all <= 2 {
		room = 1 - o.all
	}
	if room <= 0 {
		return nil
	}
	// The oldest version first: its use ends soonest, and an engine that is always busy must not be left for last.
	slices.SortFunc(candidates, func(a, b candidate) int {
		return cmp.Or(
			cmp.Compare(a.has, b.has), cmp.Compare(a.requests, b.requests), cmp.Compare(a.engine.ID, b.engine.ID),
		)
	})
	return candidates[:min(room, len(candidates))]
}

// mayLoad reports whether a quiet engine may be ordered to load.
func mayLoad(j *job, requests, loading, atOnce int, now time.Time) bool {
	quiet := now.Sub(j.since)
	if loading >= atOnce || quiet < quietLeast {
		return false
	}
	return requests == 0 || quiet >= quietMost
}
