package daemon

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	"github.com/gooseberryway/gooseberryway/internal/coordination/claim"
	"github.com/gooseberryway/gooseberryway/internal/coordination/lease"
	"github.com/gooseberryway/gooseberryway/internal/coordination/member"
	"github.com/gooseberryway/gooseberryway/internal/coordination/moves"
	"github.com/gooseberryway/gooseberryway/internal/coordination/orders"
	"github.com/gooseberryway/gooseberryway/internal/coordination/quota"
	"github.com/gooseberryway/gooseberryway/internal/coordination/relay"
	"github.com/gooseberryway/gooseberryway/internal/coordination/replay"
	"github.com/gooseberryway/gooseberryway/internal/coordination/route"
	"github.com/gooseberryway/gooseberryway/internal/coordination/serve"
	"github.com/gooseberryway/gooseberryway/internal/program/setup"
	"github.com/gooseberryway/gooseberryway/internal/protocol/wire"
	"github.com/gooseberryway/gooseberryway/internal/state/burn"
	"github.com/gooseberryway/gooseberryway/internal/state/config"
	"github.com/gooseberryway/gooseberryway/internal/state/extern"
	"github.com/gooseberryway/gooseberryway/internal/state/health"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
	"github.com/gooseberryway/gooseberryway/internal/state/prefix"
	"github.com/gooseberryway/gooseberryway/internal/transport/engine"
	"github.com/gooseberryway/gooseberryway/internal/transport/httpc"
	"github.com/gooseberryway/gooseberryway/internal/transport/intake"
	"github.com/gooseberryway/gooseberryway/internal/transport/logsvc"
	"github.com/gooseberryway/gooseberryway/internal/transport/meter"
	"github.com/gooseberryway/gooseberryway/internal/transport/peer"
	"github.com/gooseberryway/gooseberryway/internal/transport/plain"
	"github.com/gooseberryway/gooseberryway/internal/transport/rest"
	"github.com/gooseberryway/gooseberryway/internal/transport/secure"
	"github.com/gooseberryway/gooseberryway/internal/transport/vmlist"
)

// components holds the clients, coordination modules and servers of a daemon.
type components struct {
	settings *setup.Settings

	log          extern.Log
	gate         *intake.Gate
	engineClient *engine.Client
	plainClient  *plain.Client
	peerClient   *peer.Client

	follower       *replay.Follower
	writer         *replay.Writer
	checkpointer   *replay.Checkpointer
	membership     *member.Membership
	lease          *lease.Holder
	directory      *directory
	limiter        *quota.Limiter
	claimer        *claim.Claimer
	splitter       *moves.Splitter
	monitor        *moves.Monitor
	moveController *moves.Controller
	loadScheduler  *orders.Scheduler
	burn           *burn.Recorder
	moveSettings   atomic.Pointer[moves.Settings]
	loadSettings   atomic.Pointer[orders.Settings]
	burnCache      burnCache
	refusals       refusals
	warmDigest     atomic.Pointer[wire.Digest]
	ownership      ownershipTable
	digestBudget   digestBudget
	router         *route.Router
	noticeBatcher  *route.NoticeBatcher
	watchers       *engineWatchers
	picker         *picker
	service        *serve.Service

	callers, peers, admin *rest.Server

	runCtx     context.Context
	background *sync.WaitGroup
	configMu   sync.Mutex
	configured configStates
}

// build creates the components of a daemon without starting them. It returns a *secure.CertificateError or a
// *route.PolicyError.
func build(s *setup.Settings, advertised setup.Addresses, gate *intake.Gate) (*components, error) {
	c := &components{settings: s, gate: gate}
	certs, err := c.buildClients()
	if err != nil {
		return nil, err
	}
	c.buildCoordination(advertised)
	if err := c.buildRouting(); err != nil {
		return nil, err
	}
	c.buildMoves()
	c.buildService()
	c.buildServers(certs)
	return c, nil
}

// listenerCerts are the TLS certificates of the listeners; nil where TLS is off.
type listenerCerts struct {
	callers, peers, admin *secure.CertReloader
}

func (c *components) buildClients() (*listenerCerts, error) {
	c.log = &logsvc.Client{
		BaseURL: c.settings.LogService.URL,
		Timeout: c.settings.LogService.Timeout(),
		Pool:    httpc.Pool{Link: meter.LinkLog},
	}
	c.engineClient = &engine.Client{
		Credential: func(string) string { return c.settings.UpstreamCredential },
		Pool:       httpc.Pool{Control: c.gate.ControlDial},
	}
	c.plainClient = &plain.Client{
		Credential:  func(string) string { return c.settings.UpstreamCredential },
		RetryBudget: &relay.RetryBudget{},
		Pool:        httpc.Pool{Control: c.gate.ControlDial},
	}
	c.directory = &directory{
		vms: &vmlist.Client{
			BaseURL: c.settings.VMList.URL,
			Timeout: c.settings.VMList.Timeout(),
			Pool:    httpc.Pool{Link: meter.LinkVMs},
		},
		self:          c.settings.DaemonID,
		failureDomain: c.settings.FailureDomain,
	}
	certs := &listenerCerts{}
	for _, listener := range []struct {
		files  setup.Certificate
		target **secure.CertReloader
	}{{c.settings.TLS.Callers, &certs.callers}, {c.settings.TLS.Peers, &certs.peers}, {c.settings.TLS.Admin, &certs.admin}} {
		if !listener.files.Enabled() {
			continue
		}
		reloader := &secure.CertReloader{CertFile: listener.files.CertFile, KeyFile: listener.files.KeyFile, CAFile: listener.files.CAFile}
		if err := reloader.Load(); err != nil {
			return nil, err
		}
		*listener.target = reloader
	}
	c.peerClient = &peer.Client{Resolve: c.resolve, Token: c.settings.SharedToken}
	if certs.peers != nil {
		c.peerClient.TLS = certs.peers.ClientConfig()
		c.peerClient.Token = ""
	}
	return certs, nil
}

// resolve returns the peer address of a daemon from the configuration, or else from the VM list.
func (c *components) resolve(id ident.DaemonID) (string, bool) {
	if m, ok := c.follower.State().Member(id); ok {
		return m.PeerAddress, true
	}
	return c.directory.address(id)
}

func (c *components) buildCoordination(advertised setup.Addresses) {
	c.follower = &replay.Follower{
		Log:      c.log,
		Peers:    snapshotClient{c.peerClient, &c.warmDigest},
		Seeds:    c.directory.seeds,
		OnChange: func() { c.membership.Refresh() },
	}
	c.writer = &replay.Writer{Log: c.log, Follower: c.follower}
	c.checkpointer = &replay.Checkpointer{Self: c.settings.DaemonID, Log: c.log, Follower: c.follower, Writer: c.writer}
	c.membership = &member.Membership{
		Self: config.Member{
			ID:            c.settings.DaemonID,
			CallerAddress: advertised.Callers,
			PeerAddress:   advertised.Peers,
			AdminAddress:  advertised.Admin,
			FailureDomain: c.settings.FailureDomain,
		},
		Follower: c.follower,
		Writer:   c.writer,
		Peers:    c.peerClient,
		VMs:      c.directory,
		Digest:   c.digest,
		OnDigest: c.applyDigest,
		OnChange: c.onViewChange,
	}
	c.lease = &lease.Holder{Follower: c.follower, Fleet: c.membership}
	c.follower.LeaseNeedsReads = c.lease.NeedsLog
	c.follower.HoldsLease = c.lease.Valid
	c.limiter = &quota.Limiter{
		Self:       c.settings.DaemonID,
		Peers:      c.peerClient,
		HoldsLease: c.lease.Valid,
		MaxWait:    milliseconds(c.settings.Limits.AdmitWaitMs),
	}
	c.claimer = &claim.Claimer{
		Self:       c.settings.DaemonID,
		Log:        c.log,
		Peers:      c.peerClient,
		Owner:      c.ownership.lookup,
		HoldsLease: c.lease.Valid,
	}
}

func (c *components) buildRouting() error {
	policy, err := route.PolicyOf(route.PolicyName(c.settings.Policy))
	if err != nil {
		return err
	}
	c.router = &route.Router{
		Policy:    policy,
		Index:     &prefix.Index{},
		Health:    &health.Table{},
		FairShare: &route.FairShare{},

		ImportRate:    c.settings.Store.ImportTokensPerSecond,
		ImportLatency: milliseconds(c.settings.Store.ImportLatencyMs),
	}
	c.noticeBatcher = &route.NoticeBatcher{Send: c.sendNotices}
	c.router.Notify = c.noticeBatcher.Add
	c.watchers = &engineWatchers{engine: c.engineClient, router: c.router}
	return nil
}

func (c *components) buildService() {
	c.picker = &picker{router: c.router, state: c.follower.State, splitter: c.splitter, monitor: c.monitor}
	c.burn = &burn.Recorder{}
	c.service = &serve.Service{
		State:           c.follower.State,
		Lease:           c.lease,
		Limits:          limiterAdapter{c.limiter, &c.refusals},
		Claims:          claimerAdapter{c.claimer},
		Versions:        versionAdapter{c.splitter},
		Runner:          relayRunner{relay: &relay.Relay{Engine: c.engineClient, Picker: c.picker, HasOther: c.picker.hasOther, RetryBudget: &relay.RetryBudget{}}},
		Ready:           c.follower.Bootstrapped,
		OnOutcome:       c.burn.Record,
		MaxAdmitWait:    milliseconds(c.settings.Limits.AdmitWaitMs),
		RequestTimeout:  milliseconds(c.settings.Limits.RequestTimeoutMs),
		PromptHeadBytes: promptHeadBytes,
	}
}

func milliseconds(n int64) time.Duration { return time.Duration(n) * time.Millisecond }

// start runs the components in background goroutines until ctx ends. The components that need the configuration are
// started by configure.
func (c *components) start(ctx context.Context, wg *sync.WaitGroup) {
	c.runCtx, c.background = ctx, wg
	for _, run := range []func(context.Context){
		func(ctx context.Context) { _ = c.follower.Run(ctx) },
		func(ctx context.Context) { _ = c.membership.Run(ctx) },
		func(ctx context.Context) { _ = c.checkpointer.Run(ctx) },
		c.limiter.Run,
		c.noticeBatcher.Run,
		c.sendUrgentDigests,
	} {
		wg.Go(func() { meter.WithProfileLabel(ctx, run) })
	}
}

// stopListeners closes the listeners. Requests still open after listenerStopTimeout are cut: the drain has already waited
// for them.
func (c *components) stopListeners() {
	ctx, cancel := context.WithTimeout(context.Background(), listenerStopTimeout)
	defer cancel()
	for _, l := range []*rest.Server{c.callers, c.admin, c.peers} {
		if err := l.Close(ctx); err != nil {
			klog.ErrorS(err, "Listener did not close cleanly, its connections were cut", "daemon", c.settings.DaemonID)
		}
	}
}

// abortListeners closes the listeners and their connections at once.
func (c *components) abortListeners() {
	c.callers.Abort()
	c.admin.Abort()
	c.peers.Abort()
}

// close waits until the components have stopped. Their context must have ended.
func (c *components) close() {
	c.moveController.Close()
	c.loadScheduler.Close()
	c.claimer.Close()
	c.limiter.Close()
	c.noticeBatcher.Close()
	c.checkpointer.Close()
	c.membership.Close()
	c.follower.Close()
	c.watchers.wait()
	c.peerClient.Close()
	_ = c.engineClient.Close()
	_ = c.plainClient.Close()
}

// configInForce returns nil once this daemon has joined and the newest configuration that it knows is in force. Otherwise
// it returns the error of ready or a *ConfigNotInForceError.
func (c *components) configInForce() error {
	if err := c.ready(); err != nil {
		return err
	}
	view := c.membership.View()
	if view.State != config.MemberJoined || view.InForce.Offset() < view.Applied.Offset() {
		return &ConfigNotInForceError{Applied: view.Applied.Offset(), InForce: view.InForce.Offset()}
	}
	return nil
}

// ready returns nil if the daemon may serve callers. Otherwise it returns a *StartingError or the error of the lease.
func (c *components) ready() error {
	if !c.follower.Bootstrapped() {
		return &StartingError{}
	}
	return c.lease.Check()
}
