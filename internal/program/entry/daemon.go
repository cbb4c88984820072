// Package entry runs the daemon of an entry VM on a platform that publishes its configuration and its list of
// upstreams in a store. The daemon proxies callers' requests to upstreams, exchanges heartbeats with the other
// daemons, follows the store and, while it is the leader, orders engines to load new weights. Few daemons carry the
// traffic ("active" ones); the others stay ready to take over.
package entry

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	"github.com/gooseberryway/gooseberryway/internal/coordination/admit"
	"github.com/gooseberryway/gooseberryway/internal/coordination/canary"
	"github.com/gooseberryway/gooseberryway/internal/coordination/cold"
	"github.com/gooseberryway/gooseberryway/internal/coordination/detour"
	"github.com/gooseberryway/gooseberryway/internal/coordination/feed"
	"github.com/gooseberryway/gooseberryway/internal/coordination/fleet"
	"github.com/gooseberryway/gooseberryway/internal/coordination/leader"
	"github.com/gooseberryway/gooseberryway/internal/coordination/place"
	"github.com/gooseberryway/gooseberryway/internal/coordination/poison"
	"github.com/gooseberryway/gooseberryway/internal/coordination/reject"
	"github.com/gooseberryway/gooseberryway/internal/coordination/relay"
	"github.com/gooseberryway/gooseberryway/internal/coordination/reload"
	"github.com/gooseberryway/gooseberryway/internal/coordination/shed"
	"github.com/gooseberryway/gooseberryway/internal/coordination/uprate"
	"github.com/gooseberryway/gooseberryway/internal/program/setup"
	"github.com/gooseberryway/gooseberryway/internal/state/extern"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
	"github.com/gooseberryway/gooseberryway/internal/state/kvdir"
	"github.com/gooseberryway/gooseberryway/internal/state/view"
	"github.com/gooseberryway/gooseberryway/internal/transport/gossip"
	"github.com/gooseberryway/gooseberryway/internal/transport/httpc"
	"github.com/gooseberryway/gooseberryway/internal/transport/intake"
	"github.com/gooseberryway/gooseberryway/internal/transport/proxy"
	"github.com/gooseberryway/gooseberryway/platform"
)

// Daemon is one process of the router. Its fields are set before Run.
type Daemon struct {
	Settings *setup.Entry
	// Reload reads the settings again; nil if the settings can't change while the daemon runs.
	Reload func() (*setup.Entry, error)

	// dialUpstream opens connections to upstreams; nil means net.Dialer.
	dialUpstream func(ctx context.Context, network, address string) (net.Conn, error)

	listening     chan struct{}
	listeningOnce sync.Once

	incarnation uint64
	startedAt   time.Time
	snapshots   view.Snapshots
	table       fleet.Table
	limiter     admit.Limiter
	rollouts    *canary.Controller
	// upstreamLimits holds the rates that upstreams limit themselves to.
	upstreamLimits uprate.Table
	// rejectionLimits holds how many rejections upstreams bear.
	rejectionLimits reject.Table
	// coldLimits holds what cold upstreams bear.
	coldLimits cold.Table
	hearing    hearing
	// detector finds prompt parts that crash upstreams.
	detector     *poison.Detector
	follower     *feed.Follower
	placer       *place.Placer
	stores       *kvdir.Stores
	peers        *gossip.Node
	handler      *proxy.Handler
	store        extern.Store
	elector      *leader.Elector
	weightLoader *reload.Runner
	// control asks engines on kept connections, freshControl on new ones.
	control, freshControl extern.EngineControl
	// requestStop decides which requests can end before a planned stop.
	requestStop shed.Stop

	// gate bounds what the connections of all listeners hold.
	gate    intake.Gate
	seeds   atomic.Pointer[[]string]
	leaving atomic.Bool
	// inFlight counts the callers' requests in progress.
	inFlight atomic.Int64
	// passedInFlight counts the requests in progress that peers passed on.
	passedInFlight atomic.Int64
	fullHeartbeats atomic.Uint64
	// demand counts the callers' requests that arrive at this daemon.
	demand fleet.Demand
	// fleet is the view of the fleet as of the last heartbeat round; nil before the first.
	fleet atomic.Pointer[fleetView]
	// unreachableServices are those to none of whose upstreams this daemon could connect in the last heartbeat round; nil before the
	// first.
	unreachableServices atomic.Pointer[[]view.ServiceID]
	// resignedAt is when this daemon last resigned because it was cut off from upstreams; nil if it never did.
	resignedAt atomic.Pointer[time.Time]
	// idleSentAt is when heartbeats last went to daemons without traffic, idleSentState the state that they
	// announced. Only nextRound uses them.
	idleSentAt    time.Time
	idleSentState announcedState
	// behindSince is when a peer was first found to have read farther than this daemon; zero if none has. Only
	// fetchMissingRecords uses it.
	behindSince time.Time
	// askedPeer is set once a peer has sent its records. Only maintain uses it.
	askedPeer     bool
	evacuationLog evacuationLog
}

const (
	// upstreamDialTimeout bounds connecting to an upstream, which normally takes a few milliseconds.
	upstreamDialTimeout = 300 * time.Millisecond
	// peerDialTimeout bounds connecting to a peer, and peerIdleTimeout is how long an idle connection to one is kept.
	peerDialTimeout = 300 * time.Millisecond
	peerIdleTimeout = 4 * time.Second
	// storeDialTimeout bounds connecting to the platform store or a KV cache store.
	storeDialTimeout = 500 * time.Millisecond
	// upstreamIdleTimeout is how long an idle connection to an upstream is kept open.
	upstreamIdleTimeout = 4 * time.Second
	// callerHeaderTimeout and callerIdleTimeout bound how long a caller may take for the headers of a request and how
	// long it may keep an idle connection. The platform's published limits are 3 s and 15 s.
	callerHeaderTimeout = 5 * time.Second
	callerIdleTimeout   = 20 * time.Second
	// shortRequestTimeout bounds reading a request to another listener, and writing its response.
	shortRequestTimeout = 10 * time.Second
	bytesPerMB          = 1e6
	// maxHeaderBytes bounds the size of a request's headers.
	maxHeaderBytes = 64 << 10
)

func (d *Daemon) build() {
	s := d.Settings
	d.startedAt = time.Now()
	d.incarnation = uint64(d.startedAt.UnixNano())
	d.table.Self = s.DaemonID
	d.upstreamLimits.Self = s.DaemonID
	d.upstreamLimits.OnChange = func() { d.peers.SendSoon() }
	d.rejectionLimits.Self = s.DaemonID
	d.rejectionLimits.OnChange = func() { d.peers.SendSoon() }
	d.coldLimits.Self, d.coldLimits.Snapshots = s.DaemonID, &d.snapshots
	d.coldLimits.Overage, d.coldLimits.Slack = s.Limits.ColdOverage, s.Limits.ColdSlack
	d.seeds.Store(&s.Seeds)
	d.limiter.FleetSize = d.meshSize
	d.limiter.Lookup = func(id ident.OrganisationID) *view.Organisation {
		if c := d.snapshots.Config(); c != nil {
			return c.Organisations[id]
		}
		return nil
	}
	d.gate.MemoryBytes, d.gate.Descriptors = int64(s.Resources.MemoryMB*bytesPerMB), s.Resources.FileDescriptors
	d.store = &instrumentedStore{Store: &platform.Store{Address: s.Store, Pool: httpc.Pool{DialTimeout: storeDialTimeout}}}
	upstreams := &httpc.Pool{DialTimeout: upstreamDialTimeout, Dial: d.dialUpstream, Control: d.gate.ControlDial, IdleTimeout: upstreamIdleTimeout}
	// Answers to reports and orders bear no id, so that they must not come on connections of requests.
	d.control = &platform.Control{Pool: &httpc.Pool{DialTimeout: upstreamDialTimeout, Dial: d.dialUpstream, IdleTimeout: upstreamIdleTimeout}}
	d.freshControl = &platform.Control{Pool: &httpc.Pool{DialTimeout: upstreamDialTimeout, Dial: d.dialUpstream, MaxIdleConnsPerHost: -1}}
	d.stores = &kvdir.Stores{Feed: &platform.CacheFeed{Pool: &httpc.Pool{DialTimeout: storeDialTimeout}}, Snapshots: &d.snapshots, Follows: d.followsKVStores}
	d.placer = &place.Placer{
		Snapshots:       &d.snapshots,
		FailureDomain:   s.FailureDomain,
		Stores:          d.stores,
		FleetSize:       d.meshSize,
		UpstreamLimits:  &d.upstreamLimits,
		RejectionLimits: &d.rejectionLimits,
		Regions:         view.Regions(s.Regions),
		EvacuationTime:  evacuationTime(s.Limits.EvacuationMs),
		ColdLimits:      &d.coldLimits,
		OldWeightsGrace: oldWeightsGrace(time.Duration(s.Limits.WeightsMs) * time.Millisecond),
	}
	d.follower = &feed.Follower{
		Store:      d.store,
		Decoder:    platform.Decoder{},
		Snapshots:  &d.snapshots,
		BoundsCold: d.coldLimits.Bounds,
		OnChange: func() {
			d.coldLimits.ApplyList()
			d.placer.RemoveUnlisted()
			d.detector.ApplyList(d.snapshots.Upstreams())
			d.upstreamLimits.RemoveUnlisted(d.snapshots.Upstreams().ByID)
			d.rejectionLimits.RemoveUnlisted(d.snapshots.Upstreams().ByID)
			d.peers.SendSoon()
		},
		ReadsContinuously:  d.readsContinuously,
		FleetSize:          d.table.RecentCount,
		MaxHeartbeatPeriod: d.maxHeartbeatPeriod,
		InitialVersionAge:  max(0, time.Duration(s.Limits.WeightsMs)*time.Millisecond-initialVersionMargin),
	}
	d.peers = &gossip.Node{
		Address:       s.Listen.Peers,
		NextRound:     d.nextRound,
		OnHeartbeat:   d.applyHeartbeat,
		HandleChanges: d.changesFor,
		Requests:      http.HandlerFunc(d.servePassed),
		IsRequest:     proxy.IsPassed,
		Guard:         func(server *http.Server, l net.Listener) net.Listener { return d.gate.Guard(server, l, "peers") },
	}
	d.detector = d.newDetector()
	d.elector = &leader.Elector{
		Name:           weightsElection,
		Self:           s.DaemonID,
		Incarnation:    d.incarnation,
		Store:          d.store,
		TakeoverDelay:  d.takeoverDelay(),
		BootClock:      bootClock,
		TakeoverRank:   d.activeRank,
		HasOtherLeader: d.hasOtherLeader,
		Eligible: func() bool {
			return d.ready() && d.pastStartup() && d.isActive() && d.follower.StoreAge() < maxEligibleStoreAge && d.mayLead()
		},
	}
	d.weightLoader = &reload.Runner{
		Self:      s.DaemonID,
		Snapshots: &d.snapshots,
		Placer:    d.placer,
		Control:   d.control,
		Term:      d.elector.Term,
		OnFenced:  d.elector.StepDown,
		OnChange:  d.peers.SendSoon,
	}
	d.rollouts = &canary.Controller{
		Snapshots:  &d.snapshots,
		Store:      d.store,
		Codec:      platform.StatusCodec{},
		Term:       d.elector.Term,
		HasTraffic: d.isActive,
		IsIsolated: d.isIsolated,
		RequestsAt: func(id ident.UpstreamID) int { return d.placer.WorkAt(id).Requests },
		OnChange:   d.peers.SendSoon,
	}
	d.handler = &proxy.Handler{
		Rollouts:        d.rollouts,
		Regions:         view.Regions(s.Regions),
		Snapshots:       &d.snapshots,
		Dialect:         platform.Dialect{},
		Placer:          d.placer,
		Detector:        d.detector,
		Limiter:         &d.limiter,
		UpstreamLimits:  &d.upstreamLimits,
		RejectionLimits: &d.rejectionLimits,
		RetryBudgets:    d.retryBudgets(),
		Shedders:        &view.PerService[shed.Controller]{},
		Pool:            upstreams,
		CanConnect:      d.canConnect,
		Peers: &detour.Chooser{
			Self: s.DaemonID, Peers: d.table.All, IsAlive: d.table.IsAlive, IsActive: d.isActivePeer, ConfigVersion: d.configVersion,
			EvacuationOffset: d.evacuationOffset, Regions: view.Regions(s.Regions),
		},
		PeerPool:   &httpc.Pool{DialTimeout: peerDialTimeout, Control: d.gate.ControlDial, IdleTimeout: peerIdleTimeout},
		Stop:       &d.requestStop,
		IsDraining: d.leaving.Load,
	}
}

// initialVersionMargin is subtracted from the limit on older weights to get the age that versions in the store are assumed to have when the
// daemon starts, unless a peer reports when they were named. For this time after its start the daemon doesn't count as connected, and may
// use older weights.
const initialVersionMargin = 3 * time.Second

// oldWeightsMargin is how long before their limit requests on older weights are expected to begin at the latest: they still travel to the
// engine, and may wait there longer than estimated.
const oldWeightsMargin = time.Second

// oldWeightsGrace returns how long after their replacement requests may begin on older weights, by the limit on that; 0 stands for no limit. The
// margin takes at most half of a short limit.
func oldWeightsGrace(limit time.Duration) time.Duration {
	return limit - min(oldWeightsMargin, limit/2)
}

const (
	// minBudgetDaemons is the smallest number of daemons that the retry budget is divided by: a daemon that has just
	// started may not know the others yet.
	minBudgetDaemons = 8
	permille         = 1000
	// usedBudgetShare is the part of the published retry budget that is used. The rest absorbs restarts and outdated
	// knowledge of the fleet's size.
	usedBudgetShare = 0.7
)

// retryBudgets returns this daemon's part of the fleet's retry budget for each service: the retries per request are
// the same on every daemon, the fixed allowance is divided among the daemons.
func (d *Daemon) retryBudgets() *view.PerService[relay.RetryBudget] {
	l := d.Settings.Limits
	return &view.PerService[relay.RetryBudget]{New: func() *relay.RetryBudget {
		return &relay.RetryBudget{
			RetryShare: ident.Permille(max(1, l.RetryShare*usedBudgetShare*permille)),
			MaxBalance: int64(max(1, l.RetrySlack*usedBudgetShare/float64(max(minBudgetDaemons, d.meshSize())))),
		}
	}}
}

// Listening returns a channel that is closed once the daemon listens on all its addresses.
func (d *Daemon) Listening() <-chan struct{} {
	d.listeningOnce.Do(func() { d.listening = make(chan struct{}) })
	return d.listening
}

// ready reports whether the daemon accepts callers: it isn't draining and has loaded the configuration and the
// upstreams.
func (d *Daemon) ready() bool { return !d.leaving.Load() && d.follower.Loaded() }

// Run serves until ctx ends and then drains. It returns a *ListenError if an address can't be listened on, the error
// of gossip.Node.Listen, the first error of a server that stops while the daemon runs, or nil.
func (d *Daemon) Run(ctx context.Context) error {
	d.build()
	servers, err := d.listen(ctx)
	if err != nil {
		return err
	}
	peers, err := d.peers.Listen(ctx)
	if err != nil {
		servers.close()
		return err
	}
	d.Listening()
	close(d.listening)
	klog.InfoS("Daemon starts", "daemon", d.Settings.DaemonID, "incarnation", d.incarnation,
		"failureDomain", d.Settings.FailureDomain, "callers", d.Settings.Listen.Callers, "store", d.Settings.Store)
	runCtx, cancelRun := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	for _, run := range []func(context.Context){
		func(ctx context.Context) { d.peers.Run(ctx, peers) },
		d.follower.Run,
		d.stores.Run,
		d.elector.Run,
		d.weightLoader.Run,
		d.rollouts.Run,
		d.joinFleet,
		d.watchSettings,
		d.probe,
		d.askSilentEngines,
		d.maintain,
		d.keepQuarantines,
		d.resignIfCutOff,
	} {
		wg.Go(func() { run(runCtx) })
	}
	failed := make(chan error, len(servers.httpServers))
	servers.serve(&wg, failed)
	select {
	case <-ctx.Done():
		d.drain(servers)
	case err = <-failed:
		klog.ErrorS(err, "A listener failed", "daemon", d.Settings.DaemonID)
		servers.close()
	}
	cancelRun()
	wg.Wait()
	klog.InfoS("Daemon stopped", "daemon", d.Settings.DaemonID)
	klog.Flush()
	return err
}

// servers are the HTTP servers for callers, the platform and operators, each with its listener.
type servers struct {
	httpServers []*http.Server
	listeners   []net.Listener
	names       []string
	// busy are the callers' connections with a request.
	busy busyConns
	// lingerer lets the callers' connections deliver their last responses.
	lingerer lingerer
	// passed counts the requests in progress that peers passed on.
	passed *atomic.Int64
}

// inProgress returns the number of requests that are read or answered.
func (s *servers) inProgress() int { return s.busy.count() + int(s.passed.Load()) }

// callerServer is the index of the server for callers.
const callerServer = 0

// ListenError reports that the daemon can't listen on an address.
type ListenError struct {
	Address string
	Err     error
}

func (e *ListenError) Error() string { return fmt.Sprintf("listen on %s: %v", e.Address, e.Err) }

func (e *ListenError) Unwrap() error { return e.Err }

func (d *Daemon) listen(ctx context.Context) (*servers, error) {
	s := &servers{passed: &d.passedInFlight}
	l := d.Settings.Listen
	for _, endpoint := range []struct {
		name, address string
		handler       http.Handler
	}{
		{"callers", l.Callers, http.HandlerFunc(d.serveCaller)},
		{"ready", l.Ready, http.HandlerFunc(d.serveReady)},
		{"directory", l.Directory, http.HandlerFunc(d.serveDirectory)},
		{"metrics", l.Metrics, d.metrics()},
		{"admin", l.Admin, d.admin()},
	} {
		if endpoint.address == "" {
			continue
		}
		var lc net.ListenConfig
		listener, err := lc.Listen(ctx, "tcp4", endpoint.address)
		if err != nil {
			s.close()
			return nil, &ListenError{Address: endpoint.address, Err: err}
		}
		s.listeners = append(s.listeners, listener)
		s.names = append(s.names, endpoint.name)
		s.httpServers = append(s.httpServers, &http.Server{
			Handler:           endpoint.handler,
			ReadHeaderTimeout: callerHeaderTimeout,
			IdleTimeout:       callerIdleTimeout,
			MaxHeaderBytes:    maxHeaderBytes,
			ErrorLog:          klog.NewStandardLogger("INFO"),
		})
	}
	s.httpServers[callerServer].ConnState = s.busy.update
	s.listeners[callerServer] = s.lingerer.listener(s.listeners[callerServer])
	for i, server := range s.httpServers {
		s.listeners[i] = d.gate.Guard(server, s.listeners[i], s.names[i])
		if i != callerServer {
			server.ReadTimeout, server.WriteTimeout = shortRequestTimeout, shortRequestTimeout
		}
	}
	return s, nil
}

func (s *servers) serve(wg *sync.WaitGroup, failed chan<- error) {
	for i, server := range s.httpServers {
		wg.Go(func() {
			if err := server.Serve(s.listeners[i]); !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
				failed <- err
			}
		})
	}
}

func (s *servers) close() {
	for _, l := range s.listeners {
		_ = l.Close()
	}
	for _, server := range s.httpServers {
		_ = server.Close()
	}
}
