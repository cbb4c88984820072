package daemon

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/gooseberryway/gooseberryway/internal/state/burn"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

const (
	// burnRows bounds the rows of the report on service-level burn.
	burnRows = 200
	// burnAge is how long a report is shown before the daemons are asked again.
	burnAge = 5 * time.Second
	// burnTimeout bounds the question to the other daemons.
	burnTimeout = time.Second
	// refusalWindow is the time over which refusals for the rate are counted.
	refusalWindow = time.Minute
)

// burnCache keeps the last report of the fleet.
type burnCache struct {
	mu     sync.Mutex
	at     time.Time
	report burn.Report
}

// burnReport returns the report on service-level burn over all daemons that answer.
func (p *parts) burnReport() burn.Report {
	p.reports.mu.Lock()
	defer p.reports.mu.Unlock()
	if time.Since(p.reports.at) > burnAge {
		p.reports.report = p.gatherBurn()
		p.reports.at = time.Now()
	}
	return p.reports.report
}

func (p *parts) gatherBurn() burn.Report {
	ctx, cancel := context.WithTimeout(context.Background(), burnTimeout)
	defer cancel()
	all := [][]burn.SeriesCounts{p.burn.Counts()}
	var mu sync.Mutex
	var wg sync.WaitGroup
	peers := p.others()
	for _, id := range peers {
		wg.Go(func() {
			resp, err := p.calls.Burn(ctx, id)
			if err != nil {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			all = append(all, burn.Decode(resp.GetSeries()))
		})
	}
	wg.Wait()
	report := burn.Combine(p.burn.Settings(), p.follower.State(), burnRows, all...)
	report.Daemons, report.DaemonsAsked = len(all), len(peers)+1
	return report
}

// refusals counts the refusals for the rate of each organisation in the last window.
type refusals struct {
	mu    sync.Mutex
	times map[ident.OrganisationID][]time.Time
}

func (r *refusals) add(org ident.OrganisationID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.times == nil {
		r.times = map[ident.OrganisationID][]time.Time{}
	}
	r.times[org] = append(recent(r.times[org]), time.Now())
}

// recent drops the times that are older than the window.
func recent(times []time.Time) []time.Time {
	limit := time.Now().Add(-refusalWindow)
	i, _ := slices.BinarySearchFunc(times, limit, time.Time.Compare)
	return times[i:]
}

// RateLimitedOrganisation is an organisation that this daemon has refused requests for its rate.
type RateLimitedOrganisation struct {
	ID      ident.OrganisationID `json:"id"`
	Refused int                  `json:"refused"`
}

// list returns the organisations with refusals, those with most first.
func (r *refusals) list() []RateLimitedOrganisation {
	r.mu.Lock()
	defer r.mu.Unlock()
	all := []RateLimitedOrganisation{}
	for id, times := range r.times {
		left := recent(times)
		if len(left) == 0 {
			delete(r.times, id)
			continue
		}
		r.times[id] = left
		all = append(all, RateLimitedOrganisation{ID: id, Refused: len(left)})
	}
	slices.SortFunc(all, func(a, b RateLimitedOrganisation) int { return b.Refused - a.Refused })
	return all
}

// StatusPage is what the page for phones shows.
type StatusPage struct {
	Status      *Status                   `json:"status"`
	Burn        burn.Report               `json:"burn"`
	RateLimited []RateLimitedOrganisation `json:"overRate"`
	// LogDown is set while the log service takes no changes.
	LogDown bool `json:"logDown"`
}

func (p *parts) update() *StatusPage {
	status := p.status()
	return &StatusPage{
		Status:      status,
		Burn:        p.burnReport(),
		RateLimited: p.refused.list(),
		LogDown:     status.logDown(),
	}
}
