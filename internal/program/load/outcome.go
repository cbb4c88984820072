package load

import (
	"cmp"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/gooseberryway/gooseberryway/internal/coordination/serve"
	"github.com/gooseberryway/gooseberryway/internal/program/client"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

// sortByTime sorts a trace by arrival time in place and returns it.
func sortByTime(trace []arrival) []arrival {
	slices.SortStableFunc(trace, func(a, b arrival) int { return cmp.Compare(a.at, b.at) })
	return trace
}

// outcome is the result of one request of the trace.
type outcome struct {
	arrival     *arrival
	sent        time.Time
	response    *client.Response
	err         error
	textCorrect bool
	// cachedBlocks is the largest number of leading blocks that an engine had cached when the request was sent.
	cachedBlocks int
	// overIdealRate is true if an exact token bucket for the whole fleet would have delayed the request.
	overIdealRate bool
	// warmup is true for requests sent before the caches are warm. They count only as answered, rejected or lost.
	warmup bool
}

func (o *outcome) rejected() bool {
	var apiErr *client.APIError
	return errors.As(o.err, &apiErr) && !apiErr.InStream
}

func (o *outcome) rateLimited() bool {
	var apiErr *client.APIError
	return errors.As(o.err, &apiErr) && apiErr.Detail.Code == codeRateLimited
}

// admission is a request that a daemon admitted.
type admission struct {
	organisation ident.OrganisationID
	at           time.Time
	cost         ident.Tokens
}

// admissions records the admissions of all daemons.
type admissions struct {
	mu   sync.Mutex
	list []admission
}

// add records an admission with the time at which it was charged. What happens to the request later does not matter for
// the rate limit.
func (a *admissions) add(org ident.OrganisationID, r serve.Reservation) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.list = append(a.list, admission{organisation: org, at: r.ChargedAt(), cost: r.Cost()})
}
