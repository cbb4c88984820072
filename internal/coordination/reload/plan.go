// Package reload brings engines to the named version of their model: a few at a time, the least busy first, with
// traffic moved off before an engine loads. The plan is pure; the runner carries it out.
package reload

import (
	"slices"
	"time"

	"github.com/gooseberryway/gooseberryway/internal/state/ident"
	"github.com/gooseberryway/gooseberryway/internal/state/view"
)

const (
	// shareAtOnce of a service's engines load at once: the published number from which loads slow each other down is a
	// sixth of the engines or more.
	shareAtOnce = 1.0 / 6
	// quietMost is how long an engine gets no work before it is ordered to load, unless it is idle sooner.
	quietMost = 650 * time.Millisecond
	// quietLeast lets the other daemons hear of it first.
	quietLeast = 50 * time.Millisecond
	// loadGuess is taken for the time of a load until one was seen.
	loadGuess = 600 * time.Millisecond
	// checkAgain is the time between two looks at an engine that loads.
	checkAgain = 100 * time.Millisecond
	// barMargin is how much longer than expected an engine is kept off.
	barMargin = 400 * time.Millisecond
	// reportLag is how old an engine's report is: the pages say some hundred milliseconds.
	reportLag = 150 * time.Millisecond
	// overdue is when an order without effect is given again.
	overdue = 2500 * time.Millisecond
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
	// calling is true while an order or a look is under way.
	calling bool
	tries   int
}

// nearlyDone reports whether the engine is expected to have finished, though no report can show that yet.
func (j *job) nearlyDone(expected time.Duration, now time.Time) bool {
	return j.phase == phaseLoading && now.Sub(j.since) >= expected-reportLag
}

// candidate is an engine that has an older version.
type candidate struct {
	engine *view.Upstream
	// has is the version that the engine is known to have, version the one that it shall have.
	has, version int64
	requests     int
}

// atOnce returns how many of n engines may load at the same time.
func atOnce(n int) int { return max(1, int(float64(n)*shareAtOnce+0.5)) }

// next picks the engines that shall stop taking work now: as many as may load, beside those that become quiet while
// others load.
func next(all, pending int, candidates []candidate) []candidate {
	limit := 2 * atOnce(all)
	if all <= 2 {
		limit = 1
	}
	room := limit - pending
	if room <= 0 {
		return nil
	}
	// The oldest version first: its use ends soonest, and an engine that is always busy must not be left for last.
	slices.SortFunc(candidates, func(a, b candidate) int {
		if a.has != b.has {
			return int(a.has - b.has)
		}
		if a.requests != b.requests {
			return a.requests - b.requests
		}
		return compareIDs(a.engine.ID, b.engine.ID)
	})
	return candidates[:min(room, len(candidates))]
}

func compareIDs(a, b ident.UpstreamID) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	default:
		return 0
	}
}

// mayLoad reports whether a quiet engine may be ordered to load.
func mayLoad(j *job, requests, loading, all int, now time.Time) bool {
	quiet := now.Sub(j.since)
	if loading >= atOnce(all) || quiet < quietLeast {
		return false
	}
	return requests == 0 || quiet >= quietMost
}
