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

// inOrder sorts a trace by time.
func inOrder(trace []arrival) []arrival {
	slices.SortStableFunc(trace, func(a, b arrival) int { return cmp.Compare(a.at, b.at) })
	return trace
}

// outcome is what became of one arrival.
type outcome struct {
	arrival *arrival
	sent    time.Time
	answer  *client.Response
	err     error
	whole   bool
	// held is the number of leading blocks that some healthy engine held when the request was sent.
	held int
	// beyond is true if an exact bucket for the whole fleet would have made the request wait for the rate.
	beyond bool
	// warmup is true for requests sent before the caches are warm; only their fate counts.
	warmup bool
}

func (o *outcome) refused() bool {
	var refusal *client.APIError
	return errors.As(o.err, &refusal) && !refusal.InStream
}

func (o *outcome) overRate() bool {
	var refusal *client.APIError
	return errors.As(o.err, &refusal) && refusal.Detail.Code == codeRateLimited
}

// admission is a request that a daemon admitted.
type admission struct {
	organisation ident.OrganisationID
	at           time.Time
	cost         ident.Tokens
}

// admissions collects what the daemons admitted, by request.
type admissions struct {
	mu   sync.Mutex
	list []admission
}

// add notes an admission with the time of its charge: what happens to the request afterwards is no matter of the rate.
func (a *admissions) add(org ident.OrganisationID, r serve.Reservation) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.list = append(a.list, admission{organisation: org, at: r.ChargedAt(), cost: r.Cost()})
}
