// Package entry assembles the daemon of an entry VM on a platform that publishes configuration and upstreams itself.
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
	"github.com/gooseberryway/gooseberryway/internal/coordination/feed"
	"github.com/gooseberryway/gooseberryway/internal/coordination/fleet"
	"github.com/gooseberryway/gooseberryway/internal/coordination/leader"
	"github.com/gooseberryway/gooseberryway/internal/coordination/place"
	"github.com/gooseberryway/gooseberryway/internal/coordination/relay"
	"github.com/gooseberryway/gooseberryway/internal/coordination/reload"
	"github.com/gooseberryway/gooseberryway/internal/coordination/shed"
	"github.com/gooseberryway/gooseberryway/internal/program/setup"
	"github.com/gooseberryway/gooseberryway/internal/state/extern"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
	"github.com/gooseberryway/gooseberryway/internal/state/kvdir"
	"github.com/gooseberryway/gooseberryway/internal/state/view"
	"github.com/gooseberryway/gooseberryway/internal/transport/gossip"
	"github.com/gooseberryway/gooseberryway/internal/transport/httpc"
	"github.com/gooseberryway/gooseberryway/internal/transport/proxy"
	"github.com/gooseberryway/gooseberryway/platform"
)

// Daemon is one process of the system. Its fields are set before Run.
type Daemon struct {
	Settings *setup.Entry
	// Reload reads the settings again; nil if they can't change.
	Reload func() (*setup.Entry, error)

	listening chan struct{}
	once      sync.Once

	incarnation uint64
	startedAt   time.Time
	board       view.Snapshots
	table       fleet.Table
	meter       admit.Limiter
	follower    *feed.Follower
	placer      *place.Placer
	stores      *kvdir.Stores
	peers       *gossip.Node
	handler     *proxy.Handler
	store       extern.Store
	keeper      *leader.Elector
	loads       *reload.Runner

	seeds   atomic.Pointer[[]string]
	leaving atomic.Bool
	// inFlight counts requests in progress.
	inFlight atomic.Int64
	beats    atomic.Uint64
	// demand counts the requests that reach this daemon.
	demand fleet.Demand
	// fleet is what the last round made of the fleet.
	fleet atomic.Pointer[fleetView]
	// restAt is when daemons without traffic were last told, told what they heard; only round uses them.
	restAt time.Time
	told   restState
	// behindSince is when a peer was first seen ahead; only sweep uses it.
	behindSince time.Time
}

const (
	// upstreamDial bounds the set-up of a connection to an upstream, which takes a few milliseconds.
	upstreamDial = 300 * time.Millisecond
	// storeDial bounds the set-up of a connection to the store.
	storeDial = 500 * time.Millisecond
	// upstreamIdle is how long a connection to an upstream is kept without a request.
	upstreamIdle = 4 * time.Second
	// headerTimeout and idleTimeout bound callers; the published limits are 3 s and 15 s.
	headerTimeout = 5 * time.Second
	idleTimeout   = 20 * time.Second
	// headerBytes bounds the headers of a request.
	headerBytes = 64 << 10
)

func (d *Daemon) build() {
	s := d.Settings
	d.startedAt = time.Now()
	d.incarnation = uint64(d.startedAt.UnixNano())
	d.table.Self = s.DaemonID
	d.seeds.Store(&s.Seeds)
	d.meter.FleetSize = d.meshSize
	d.meter.Lookup = func(id ident.OrganisationID) *view.Organisation {
		if c := d.board.Config(); c != nil {
			return c.Organisations[id]
		}
		return nil
	}
	d.store = countedStore{&platform.Store{Address: s.Store, Pool: httpc.Pool{DialTimeout: storeDial}}}
	upstreams := &httpc.Pool{DialTimeout: upstreamDial, IdleTimeout: upstreamIdle}
	d.stores = &kvdir.Stores{Feed: &platform.CacheFeed{Pool: &httpc.Pool{DialTimeout: storeDial}}, Snapshots: &d.board, Follows: d.followsCache}
	d.placer = &place.Placer{
		Snapshots:       &d.board,
		FailureDomain:   s.FailureDomain,
		Stores:          d.stores,
		FleetSize:       d.meshSize,
		OldWeightsGrace: time.Duration(s.Limits.WeightsMs)*time.Millisecond - olderMargin,
	}
	d.follower = &feed.Follower{
		Store:              d.store,
		Decoder:            platform.Decoder{},
		Snapshots:          &d.board,
		OnChange:           func() { d.placer.RemoveUnlisted(); d.peers.SendSoon() },
		ReadsContinuously:  d.reads,
		FleetSize:          d.table.RecentCount,
		MaxHeartbeatPeriod: d.hears,
		InitialVersionAge:  max(0, time.Duration(s.Limits.WeightsMs)*time.Millisecond-startAllowance),
	}
	d.peers = &gossip.Node{
		Address:       s.Listen.Peers,
		NextRound:     d.round,
		OnHeartbeat:   d.heard,
		HandleChanges: d.changes,
	}
	d.keeper = &leader.Elector{
		Name:           dutyWeights,
		Self:           s.DaemonID,
		Incarnation:    d.incarnation,
		Store:          d.store,
		TakeoverDelay:  d.bar(),
		BootClock:      bootTime,
		TakeoverRank:   d.rank,
		HasOtherLeader: d.held,
		Eligible:       func() bool { return d.ready() && d.settled() && d.isActive() && d.follower.StoreAge() < eligibleAge },
	}
	d.loads = &reload.Runner{
		Self:      s.DaemonID,
		Snapshots: &d.board,
		Placer:    d.placer,
		Control:   &platform.Control{Pool: upstreams},
		Term:      d.keeper.Term,
		OnFenced:  d.keeper.StepDown,
		OnChange:  d.peers.SendSoon,
	}
	d.handler = &proxy.Handler{
		Snapshots: &d.board,
		Dialect:   platform.Dialect{},
		Placer:    d.placer,
		Limiter:   &d.meter,
		Budgets:   d.budgets(),
		Shedders:  &view.PerService[shed.Controller]{},
		Pool:      upstreams,
		Leaving:   d.leaving.Load,
	}
}

// startAllowance is for how long a daemon that has just started uses older weights when nobody tells when newer ones
// were named: it counts as in touch only after that time.
const startAllowance = 3 * time.Second

// olderMargin ends the use of older weights before their limit, as a request travels and waits at the engine.
const olderMargin = time.Second

const (
	// fleetLeast is the least number of daemons that share the retry budget: one that has just started may not know the
	// others yet.
	fleetLeast = 8
	permille   = 1000
	// budgetShare of the published retry budget is used, so that lag and restarts stay within it.
	budgetShare = 0.7
)

// budgets divides the retry budget of the fleet: the share holds for each daemon, the slack is split.
func (d *Daemon) budgets() *view.PerService[relay.RetryBudget] {
	l := d.Settings.Limits
	return &view.PerService[relay.RetryBudget]{New: func() *relay.RetryBudget {
		return &relay.RetryBudget{
			RetryShare: ident.Permille(max(1, l.RetryShare*budgetShare*permille)),
			MaxBalance: int64(max(1, l.RetrySlack*budgetShare/float64(max(fleetLeast, d.meshSize())))),
		}
	}}
}

// Listening returns a channel that is closed once the daemon listens.
func (d *Daemon) Listening() <-chan struct{} {
	d.once.Do(func() { d.listening = make(chan struct{}) })
	return d.listening
}

// ready reports whether callers may be sent to the daemon.
func (d *Daemon) ready() bool { return !d.leaving.Load() && d.follower.Loaded() }

// Run serves until ctx ends, and then leaves. It returns the first failure of a listener, or nil.
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
	life, end := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	for _, run := range []func(context.Context){
		func(ctx context.Context) { d.peers.Run(ctx, peers) },
		d.follower.Run,
		d.stores.Run,
		d.keeper.Run,
		d.loads.Run,
		d.join,
		d.watchSettings,
		d.probe,
		d.sweep,
	} {
		wg.Go(func() { run(life) })
	}
	failed := make(chan error, len(servers.list))
	servers.serve(&wg, failed)
	select {
	case <-ctx.Done():
		d.leave(servers)
	case err = <-failed:
		klog.ErrorS(err, "A listener failed", "daemon", d.Settings.DaemonID)
		servers.close()
	}
	end()
	wg.Wait()
	klog.InfoS("Daemon stopped", "daemon", d.Settings.DaemonID)
	klog.Flush()
	return err
}

// servers are the listeners for callers, the platform and operators.
type servers struct {
	list    []*http.Server
	sockets []net.Listener
}

// ListenError says that an address can't be listened on.
type ListenError struct {
	Address string
	Err     error
}

func (e *ListenError) Error() string { return fmt.Sprintf("listen on %s: %v", e.Address, e.Err) }

func (e *ListenError) Unwrap() error { return e.Err }

func (d *Daemon) listen(ctx context.Context) (*servers, error) {
	s := &servers{}
	l := d.Settings.Listen
	for _, one := range []struct {
		address string
		handler http.Handler
	}{
		{l.Callers, http.HandlerFunc(d.serveCaller)},
		{l.Ready, http.HandlerFunc(d.serveReady)},
		{l.Directory, http.HandlerFunc(d.serveDirectory)},
		{l.Metrics, d.metrics()},
		{l.Admin, d.admin()},
	} {
		if one.address == "" {
			continue
		}
		var lc net.ListenConfig
		socket, err := lc.Listen(ctx, "tcp4", one.address)
		if err != nil {
			s.close()
			return nil, &ListenError{Address: one.address, Err: err}
		}
		s.sockets = append(s.sockets, socket)
		s.list = append(s.list, &http.Server{
			Handler:           one.handler,
			ReadHeaderTimeout: headerTimeout,
			IdleTimeout:       idleTimeout,
			MaxHeaderBytes:    headerBytes,
			ErrorLog:          klog.NewStandardLogger("INFO"),
		})
	}
	return s, nil
}

func (s *servers) serve(wg *sync.WaitGroup, failed chan<- error) {
	for i, server := range s.list {
		wg.Go(func() {
			if err := server.Serve(s.sockets[i]); !errors.Is(err, http.ErrServerClosed) {
				failed <- err
			}
		})
	}
}

func (s *servers) close() {
	for _, l := range s.sockets {
		_ = l.Close()
	}
	for _, server := range s.list {
		_ = server.Close()
	}
}
