package entry

import (
	"context"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/gooseberryway/gooseberryway/internal/state/ident"
	"github.com/gooseberryway/gooseberryway/internal/transport/intake"
	"github.com/gooseberryway/gooseberryway/internal/transport/rest"
	"github.com/gooseberryway/gooseberryway/platform"
)

// directoryTTL is how long callers may keep a response of the directory: long enough to keep requests to the directory
// rare, short enough that callers stop using a lost VM quickly.
const directoryTTL = 2 * time.Second

func (d *Daemon) serveCaller(w http.ResponseWriter, r *http.Request) {
	d.inFlight.Add(1)
	d.demand.CountRequest()
	defer d.inFlight.Add(-1)
	d.handler.ServeHTTP(w, r)
}

func (d *Daemon) serveReady(w http.ResponseWriter, _ *http.Request) {
	if !d.ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// serveDirectory responds with the addresses that callers should connect to.
func (d *Daemon) serveDirectory(w http.ResponseWriter, r *http.Request) {
	addresses := d.callerAddresses(platform.DirectoryCaller(r))
	if len(addresses) == 0 {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	ttl := directoryTTL
	if limit := time.Duration(d.Settings.Limits.DirectoryTTLS * float64(time.Second)); limit > 0 {
		ttl = min(ttl, limit)
	}
	platform.WriteDirectory(w, addresses, ttl)
}

func (d *Daemon) metrics() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		d.gate.UpdateMetrics()
		metrics.WritePrometheus(w, true)
	})
	return intake.HoldHandler(reportBytes, mux)
}

// status is a daemon's response to GET /v1/status.
type status struct {
	Daemon  string `json:"daemon"`
	Ready   bool   `json:"ready"`
	Leaving bool   `json:"leaving"`
	// Active says that callers are sent to this daemon.
	Active        bool  `json:"active"`
	Requests      int64 `json:"activeRequests"`
	ConfigVersion int64 `json:"configVersion"`
	StoreAgeMs    int64 `json:"storeAgeMs"`
	Upstreams     int   `json:"upstreams"`
	// UnreachableServices are those to none of whose upstreams this daemon can connect.
	UnreachableServices []string `json:"unreachableServices"`
	// Limits are the rates that upstreams limit all daemons to, Rollouts the shifts of traffic to new releases.
	Limits []limitStatus `json:"limits"`
	// Cold are the cold upstreams.
	Cold     []coldStatus    `json:"cold,omitempty"`
	Rollouts []rolloutStatus `json:"rollouts"`
	// Evacuations are the failure domains whose upstreams get no requests.
	Evacuations []evacuationStatus `json:"evacuations"`
	// RejectionLimits tells how many rejections upstreams bear.
	RejectionLimits []rejectionLimitStatus `json:"rejectionLimits"`
	// Quarantines are the sets of prompt parts whose requests are refused, and the whole requests that are.
	Quarantines []quarantineStatus `json:"quarantines"`
	Peers       []peerStatus       `json:"peers"`
}

// quarantineStatus is a quarantined set of prompt parts, or a whole request, by their hashes.
type quarantineStatus struct {
	Parts   string `json:"parts"`
	Whole   bool   `json:"whole"`
	Strikes int    `json:"strikes"`
	AgeMs   int64  `json:"ageMs"`
}

// limitStatus is the limit of one upstream, in requests per second, and this daemon's share of it.
type limitStatus struct {
	Upstream string  `json:"upstream"`
	Limit    float64 `json:"limit"`
	Share    float64 `json:"share"`
}

// rejectionLimitStatus tells above how many rejections a second an upstream falls over, and how many requests this daemon may
// have there whatever the others do.
type rejectionLimitStatus struct {
	Upstream  string  `json:"upstream"`
	PerSecond float64 `json:"perSecond"`
	Places    int     `json:"places"`
}

type rolloutStatus struct {
	Service       string `json:"service"`
	Release       string `json:"release"`
	State         string `json:"state"`
	SharePermille int    `json:"sharePermille"`
	Reason        string `json:"reason"`
	OrderAgeMs    int64  `json:"orderAgeMs"`
}

type peerStatus struct {
	Daemon  string `json:"daemon"`
	Alive   bool   `json:"alive"`
	Ready   bool   `json:"ready"`
	Leaving bool   `json:"leaving"`
	Active  bool   `json:"active"`
	Term    uint64 `json:"term"`
}

const (
	// adminWriteTimeout bounds writing a response to an operator.
	adminWriteTimeout = 2 * time.Second
	// reportBytes is the memory of a response with the metrics or the status.
	reportBytes = 64 << 10
)

func (d *Daemon) admin() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET /v1/status", rest.Handler(
		func(context.Context, *http.Request) (struct{}, error) { return struct{}{}, nil },
		func(context.Context, struct{}) (status, error) { return d.status(), nil },
		func(_ context.Context, w http.ResponseWriter, s status) error {
			rest.WriteJSON(w, http.StatusOK, s, adminWriteTimeout)
			return nil
		},
		func(_ context.Context, w http.ResponseWriter, _ error) { w.WriteHeader(http.StatusInternalServerError) },
	))
	return intake.HoldHandler(reportBytes, mux)
}

func (d *Daemon) status() status {
	s := status{
		Daemon:     string(d.Settings.DaemonID),
		Ready:      d.ready(),
		Leaving:    d.leaving.Load(),
		Active:     d.isActive(),
		Requests:   d.inFlight.Load(),
		StoreAgeMs: d.follower.StoreAge().Milliseconds(),
		Upstreams:  len(d.snapshots.Upstreams().ByID),

		Evacuations: d.evacuations(),
	}
	if c := d.snapshots.Config(); c != nil {
		s.ConfigVersion = c.Version
	}
	for _, service := range d.unreachable() {
		s.UnreachableServices = append(s.UnreachableServices, string(service))
	}
	for _, l := range d.upstreamLimits.Limits() {
		s.Limits = append(s.Limits, limitStatus{Upstream: string(l.Upstream), Limit: float64(l.Rate), Share: float64(l.Share)})
	}
	for _, l := range d.rejectionLimits.Limits() {
		s.RejectionLimits = append(s.RejectionLimits, rejectionLimitStatus{Upstream: string(l.Upstream), PerSecond: l.PerSecond, Places: l.Places})
	}
	s.Cold = d.coldStatus()
	for _, r := range d.rollouts.Stages() {
		s.Rollouts = append(s.Rollouts, rolloutStatus{
			Service: string(r.Service), Release: r.Release, State: r.State.String(), SharePermille: int(r.Share), Reason: r.Reason,
			OrderAgeMs: time.Since(r.OrderedAt).Milliseconds(),
		})
	}
	for _, q := range d.detector.Quarantines() {
		if !q.Released {
			s.Quarantines = append(s.Quarantines, quarantineStatus{
				Parts: q.Subjects.Key(), Whole: q.Whole, Strikes: q.Strikes, AgeMs: time.Since(q.Since).Milliseconds(),
			})
		}
	}
	active := map[ident.DaemonID]bool{}
	if v := d.fleet.Load(); v != nil {
		for _, p := range v.active {
			active[p.ID] = true
		}
	}
	now := time.Now()
	for _, p := range d.table.All() {
		s.Peers = append(s.Peers, peerStatus{
			Daemon:  string(p.ID),
			Alive:   p.Alive(now),
			Ready:   p.Ready,
			Leaving: p.Leaving,
			Active:  active[p.ID],
			Term:    uint64(p.Term),
		})
	}
	return s
}
