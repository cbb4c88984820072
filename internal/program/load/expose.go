package load

import (
	"sync"
	"time"

	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

// exposure tells how much a version was used after it had turned bad. It is zero for a good version.
type exposure struct {
	// BadRequests is the number of requests that went to the bad version, each attempt counted.
	BadRequests int `json:"badRequests"`
	// BadShare is their share of the move's traffic: of all requests on its routes from its start until its deadline.
	BadShare float64 `json:"badShare"`
	// BadShareUntilEnd is their share of the requests from the start of the move until it ended.
	BadShareUntilEnd float64 `json:"badShareUntilEnd"`
	// FaultToLastRequestMs is the wall time from the first request that met the fault to the last one that was sent to
	// the version.
	FaultToLastRequestMs float64 `json:"faultToLastRequestMs"`
}

// dispatches collects which version each attempt of a request was sent to.
type dispatches struct {
	mu   sync.Mutex
	list []dispatch
}

type dispatch struct {
	at      time.Time
	version ident.VersionID
	route   ident.RouteID
}

func (d *dispatches) add(version ident.VersionID, route ident.RouteID) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.list = append(d.list, dispatch{at: time.Now(), version: version, route: route})
}

// exposure works out the figures of a move that began at started and ended at ended.
func (d *dispatches) exposure(started, ended, deadline time.Time, bad func(dispatch) bool) exposure {
	d.mu.Lock()
	defer d.mu.Unlock()
	until := deadline
	if ended.After(deadline) {
		until = ended
	}
	planned, all := 0, 0
	f := exposure{}
	var first, last time.Time
	for _, at := range d.list {
		if at.at.Before(started) || at.at.After(until) {
			continue
		}
		if !at.at.After(deadline) {
			planned++
		}
		if !at.at.After(ended) {
			all++
		}
		if !bad(at) {
			continue
		}
		f.BadRequests++
		if first.IsZero() {
			first = at.at
		}
		last = at.at
	}
	f.BadShare = part(f.BadRequests, planned)
	f.BadShareUntilEnd = part(f.BadRequests, all)
	f.FaultToLastRequestMs = float64(last.Sub(first)) / float64(time.Millisecond)
	return f
}

func part(n, of int) float64 {
	if of == 0 {
		return 0
	}
	return float64(n) / float64(of)
}
