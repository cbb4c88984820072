package load

import (
	"sync"
	"time"

	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

// exposure measures how much traffic a version received while it was faulty. It is zero for a version without faults.
type exposure struct {
	// BadRequests is the number of attempts that were sent to the faulty version.
	BadRequests int `json:"badRequests"`
	// BadShare is their share of the move's traffic: of all requests on its routes from its start until its deadline.
	BadShare float64 `json:"badShare"`
	// BadShareUntilEnd is their share of the requests from the start of the move until it ended.
	BadShareUntilEnd float64 `json:"badShareUntilEnd"`
	// FaultToLastRequestMs is the wall time between the first and the last request that the faulty version received.
	FaultToLastRequestMs float64 `json:"faultToLastRequestMs"`
}

// dispatchLog records the version and the route of each attempt that was sent to an engine.
type dispatchLog struct {
	mu   sync.Mutex
	list []dispatch
}

type dispatch struct {
	at      time.Time
	version ident.VersionID
	route   ident.RouteID
}

func (d *dispatchLog) add(version ident.VersionID, route ident.RouteID) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.list = append(d.list, dispatch{at: time.Now(), version: version, route: route})
}

// exposure returns the exposure of a move that was started, ended and due at the given times. The function bad reports
// whether an attempt was sent to a faulty version.
func (d *dispatchLog) exposure(started, ended, deadline time.Time, bad func(dispatch) bool) exposure {
	d.mu.Lock()
	defer d.mu.Unlock()
	countedUntil := deadline
	if ended.After(deadline) {
		countedUntil = ended
	}
	untilDeadline, untilEnd := 0, 0
	result := exposure{}
	var first, last time.Time
	for _, sent := range d.list {
		if sent.at.Before(started) || sent.at.After(countedUntil) {
			continue
		}
		if !sent.at.After(deadline) {
			untilDeadline++
		}
		if !sent.at.After(ended) {
			untilEnd++
		}
		if !bad(sent) {
			continue
		}
		result.BadRequests++
		if first.IsZero() {
			first = sent.at
		}
		last = sent.at
	}
	result.BadShare = ratio(result.BadRequests, untilDeadline)
	result.BadShareUntilEnd = ratio(result.BadRequests, untilEnd)
	result.FaultToLastRequestMs = float64(last.Sub(first)) / float64(time.Millisecond)
	return result
}

func ratio(n, of int) float64 {
	if of == 0 {
		return 0
	}
	return float64(n) / float64(of)
}
