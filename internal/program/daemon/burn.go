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
	// maxBurnRows is the maximum number of rows in the burn rate report.
	maxBurnRows = 200
	// burnReportTTL is how long a report is cached before the peers are queried again.
	burnReportTTL = 5 * time.Second
	// burnCallTimeout bounds the Burn calls to all peers.
	burnCallTimeout = time.Second
	// refusalWindow is the window over which requests rejected by the rate limit are counted.
	refusalWindow = time.Minute
)

// burnCache holds the latest burn rate report of the fleet.
type burnCache struct {
	mu        sync.Mutex
	fetchedAt time.Time
	report    burn.Report
}

// burnReport returns the burn rates of the service-level objectives over all daemons that respond. The report may be up to
// burnReportTTL old.
func (c *components) burnReport() burn.Report {
	c.burnCache.mu.Lock()
	defer c.burnCache.mu.Unlock()
	if time.Since(c.burnCache.fetchedAt) > burnReportTTL {
		c.burnCache.report = c.collectBurnReport()
		c.burnCache.fetchedAt = time.Now()
	}
	return c.burnCache.report
}

func (c *components) collectBurnReport() burn.Report {
	ctx, cancel := context.WithTimeout(context.Background(), burnCallTimeout)
	defer cancel()
	counts := [][]burn.SeriesCounts{c.burn.Counts()}
	var mu sync.Mutex
	var wg sync.WaitGroup
	peers := c.livePeers()
	for _, id := range peers {
		wg.Go(func() {
			resp, err := c.peerClient.Burn(ctx, id)
			if err != nil {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			counts = append(counts, burn.Decode(resp.GetSeries()))
		})
	}
	wg.Wait()
	report := burn.Combine(c.burn.Settings(), c.follower.State(), maxBurnRows, counts...)
	report.Daemons, report.DaemonsAsked = len(counts), len(peers)+1
	return report
}

// refusals counts the requests of each organisation that the rate limit rejected within refusalWindow.
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
	r.times[org] = append(withinRefusalWindow(r.times[org]), time.Now())
}

// withinRefusalWindow returns the times, sorted in ascending order, without those older than refusalWindow.
func withinRefusalWindow(times []time.Time) []time.Time {
	limit := time.Now().Add(-refusalWindow)
	i, _ := slices.BinarySearchFunc(times, limit, time.Time.Compare)
	return times[i:]
}

// RateLimitedOrganisation is an organisation of which this daemon has rejected requests over the rate limit.
type RateLimitedOrganisation struct {
	ID      ident.OrganisationID `json:"id"`
	Refused int                  `json:"refused"`
}

// list returns the organisations with rejected requests in descending order of their number.
func (r *refusals) list() []RateLimitedOrganisation {
	r.mu.Lock()
	defer r.mu.Unlock()
	all := []RateLimitedOrganisation{}
	for id, times := range r.times {
		current := withinRefusalWindow(times)
		if len(current) == 0 {
			delete(r.times, id)
			continue
		}
		r.times[id] = current
		all = append(all, RateLimitedOrganisation{ID: id, Refused: len(current)})
	}
	slices.SortFunc(all, func(a, b RateLimitedOrganisation) int { return b.Refused - a.Refused })
	return all
}

// StatusPage is the data of the status page for mobile phones.
type StatusPage struct {
	Status      *Status                   `json:"status"`
	Burn        burn.Report               `json:"burn"`
	RateLimited []RateLimitedOrganisation `json:"overRate"`
	// LogDown reports that the log service does not answer, so that no configuration change is accepted.
	LogDown bool `json:"logDown"`
}

func (c *components) statusPage() *StatusPage {
	status := c.status()
	return &StatusPage{
		Status:      status,
		Burn:        c.burnReport(),
		RateLimited: c.refusals.list(),
		LogDown:     status.logDown(),
	}
}
