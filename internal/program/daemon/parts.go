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
	"github.com/gooseberryway/gooseberryway/internal/transport/logsvc"
	"github.com/gooseberryway/gooseberryway/internal/transport/meter"
	"github.com/gooseberryway/gooseberryway/internal/transport/peer"
	"github.com/gooseberryway/gooseberryway/internal/transport/plain"
	"github.com/gooseberryway/gooseberryway/internal/transport/rest"
	"github.com/gooseberryway/gooseberryway/internal/transport/secure"
	"github.com/gooseberryway/gooseberryway/internal/transport/vmlist"
)

// parts are the components of a daemon.
type parts struct {
	settings *setup.Settings

	log    extern.Log
	engine *engine.Client
	plain  *plain.Client
	calls  *peer.Client

	follower     *replay.Follower
	writer       *replay.Writer
	checkpointer *replay.Checkpointer
	fleet        *member.Membership
	lease        *lease.Holder
	directory    *directory
	limiter      *quota.Limiter
	claimer      *claim.Claimer
	splitter     *moves.Splitter
	watch        *moves.Monitor
	owner        *moves.Controller
	orders       *orders.Scheduler
	burn         *burn.Recorder
	moveSettings atomic.Pointer[moves.Settings]
	loadSettings atomic.Pointer[orders.Settings]
	reports      burnCache
	refused      refusals
	warm         atomic.Pointer[wire.Digest]
	owners       ownerships
	digests      digestBudget
	router       *route.Router
	notices      *route.NoticeBatcher
	watchers     *watchers
	picks        *picker
	service      *serve.Service

	callers, peers, admin *rest.Server

	life       context.Context
	background *sync.WaitGroup
	changing   sync.Mutex
	seen       seen
}

// build makes the parts of a daemon; nothing runs yet. The error is a *secure.CertificateError or a *route.PolicyError.
func build(s *setup.Settings, advertised setup.Addresses) (*parts, error) {
	p := &parts{settings: s}
	credentials, err := p.buildTransports()
	if err != nil {
		return nil, err
	}
	p.buildAgreement(advertised)
	if err := p.buildRouting(); err != nil {
		return nil, err
	}
	p.buildMoves()
	p.buildService()
	p.buildServers(credentials)
	return p, nil
}

// credentials are the TLS configurations of the listeners; nil where TLS is off.
type credentials struct {
	callers, peers, admin *secure.CertReloader
}

func (p *parts) buildTransports() (*credentials, error) {
	p.log = &logsvc.Client{
		BaseURL: p.settings.LogService.URL,
		Timeout: p.settings.LogService.Timeout(),
		Pool:    httpc.Pool{Link: meter.LinkLog},
	}
	p.engine = &engine.Client{Credential: func(string) string { return p.settings.UpstreamCredential }}
	p.plain = &plain.Client{
		Credential:  func(string) string { return p.settings.UpstreamCredential },
		RetryBudget: &relay.RetryBudget{},
	}
	p.directory = &directory{
		vms: &vmlist.Client{
			BaseURL: p.settings.VMList.URL,
			Timeout: p.settings.VMList.Timeout(),
			Pool:    httpc.Pool{Link: meter.LinkVMs},
		},
		self:   p.settings.DaemonID,
		domain: p.settings.FailureDomain,
	}
	c := &credentials{}
	for _, listener := range []struct {
		files  setup.Certificate
		reload **secure.CertReloader
	}{{p.settings.TLS.Callers, &c.callers}, {p.settings.TLS.Peers, &c.peers}, {p.settings.TLS.Admin, &c.admin}} {
		if !listener.files.Enabled() {
			continue
		}
		r := &secure.CertReloader{CertFile: listener.files.CertFile, KeyFile: listener.files.KeyFile, CAFile: listener.files.CAFile}
		if err := r.Load(); err != nil {
			return nil, err
		}
		*listener.reload = r
	}
	p.calls = &peer.Client{Resolve: p.resolve, Token: p.settings.SharedToken}
	if c.peers != nil {
		p.calls.TLS = c.peers.Client()
		p.calls.Token = ""
	}
	return c, nil
}

// resolve returns the peer address of a daemon.
func (p *parts) resolve(id ident.DaemonID) (string, bool) {
	if m, ok := p.follower.State().Member(id); ok {
		return m.PeerAddress, true
	}
	return p.directory.address(id)
}

func (p *parts) buildAgreement(advertised setup.Addresses) {
	p.follower = &replay.Follower{Log: p.log, Peers: snapshots{p.calls, &p.warm}, Seeds: p.directory.seeds, OnChange: func() { p.fleet.Refresh() }}
	p.writer = &replay.Writer{Log: p.log, Follower: p.follower}
	p.checkpointer = &replay.Checkpointer{Self: p.settings.DaemonID, Log: p.log, Follower: p.follower, Writer: p.writer}
	p.fleet = &member.Membership{
		Self: config.Member{
			ID:            p.settings.DaemonID,
			CallerAddress: advertised.Callers,
			PeerAddress:   advertised.Peers,
			AdminAddress:  advertised.Admin,
			FailureDomain: p.settings.FailureDomain,
		},
		Follower: p.follower,
		Writer:   p.writer,
		Peers:    p.calls,
		VMs:      p.directory,
		Digest:   p.digest,
		OnDigest: p.learn,
		OnChange: p.changed,
	}
	p.lease = &lease.Holder{Follower: p.follower, Fleet: p.fleet}
	p.follower.LeaseNeedsReads = p.lease.NeedsLog
	p.follower.HoldsLease = p.lease.Valid
	p.limiter = &quota.Limiter{
		Self:       p.settings.DaemonID,
		Peers:      p.calls,
		HoldsLease: p.lease.Valid,
		MaxWait:    milliseconds(p.settings.Limits.AdmitWaitMs),
	}
	p.claimer = &claim.Claimer{
		Self:       p.settings.DaemonID,
		Log:        p.log,
		Peers:      p.calls,
		Owner:      p.owners.of,
		HoldsLease: p.lease.Valid,
	}
}

func (p *parts) buildRouting() error {
	policy, err := route.PolicyOf(route.PolicyName(p.settings.Policy))
	if err != nil {
		return err
	}
	p.router = &route.Router{
		Policy:    policy,
		Index:     &prefix.Index{},
		Health:    &health.Table{},
		FairShare: &route.FairShare{},

		ImportRate:    p.settings.Store.ImportTokensPerSecond,
		ImportLatency: milliseconds(p.settings.Store.ImportLatencyMs),
	}
	p.notices = &route.NoticeBatcher{Send: p.notify}
	p.router.Notify = p.notices.Add
	p.watchers = &watchers{engine: p.engine, router: p.router}
	return nil
}

func (p *parts) buildService() {
	p.picks = &picker{router: p.router, state: p.follower.State, splitter: p.splitter, watch: p.watch}
	p.burn = &burn.Recorder{}
	p.service = &serve.Service{
		State:           p.follower.State,
		Lease:           p.lease,
		Limits:          limits{p.limiter, &p.refused},
		Claims:          claims{p.claimer},
		Versions:        versions{p.splitter},
		Runner:          runner{relay: &relay.Relay{Engine: p.engine, Picker: p.picks, RetryBudget: &relay.RetryBudget{}}},
		Ready:           p.follower.Bootstrapped,
		OnOutcome:       p.burn.Record,
		MaxAdmitWait:    milliseconds(p.settings.Limits.AdmitWaitMs),
		RequestTimeout:  milliseconds(p.settings.Limits.RequestTimeoutMs),
		PromptHeadBytes: familyBytes,
	}
}

func milliseconds(n int64) time.Duration { return time.Duration(n) * time.Millisecond }

// start runs all parts in the background until ctx ends.
func (p *parts) start(ctx context.Context, wg *sync.WaitGroup) {
	p.life, p.background = ctx, wg
	for _, run := range []func(context.Context){
		func(ctx context.Context) { _ = p.follower.Run(ctx) },
		func(ctx context.Context) { _ = p.fleet.Run(ctx) },
		func(ctx context.Context) { _ = p.checkpointer.Run(ctx) },
		p.limiter.Run,
		p.notices.Run,
		p.tellUrgent,
	} {
		wg.Go(func() { meter.WithProfileLabel(ctx, run) })
	}
}

// stopListeners ends the listeners; requests that are running have had their time.
func (p *parts) stopListeners() {
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	for _, l := range []*rest.Server{p.callers, p.admin, p.peers} {
		if err := l.Close(ctx); err != nil {
			klog.ErrorS(err, "Listener cut", "daemon", p.settings.DaemonID)
		}
	}
}

// cutListeners ends the listeners and breaks their connections.
func (p *parts) cutListeners() {
	p.callers.Abort()
	p.admin.Abort()
	p.peers.Abort()
}

// close waits for the parts, whose context has ended.
func (p *parts) close() {
	p.owner.Close()
	p.orders.Close()
	p.claimer.Close()
	p.limiter.Close()
	p.notices.Close()
	p.checkpointer.Close()
	p.fleet.Close()
	p.follower.Close()
	p.watchers.wait()
	p.calls.Close()
	_ = p.engine.Close()
	_ = p.plain.Close()
}

// settled returns nil once the newest configuration is in force.
func (p *parts) settled() error {
	if err := p.ready(); err != nil {
		return err
	}
	view := p.fleet.View()
	if view.State != config.MemberJoined || view.InForce.Offset() < view.Applied.Offset() {
		return &ConfigNotInForceError{Applied: view.Applied.Offset(), InForce: view.InForce.Offset()}
	}
	return nil
}

// ready returns nil if the daemon may serve callers.
func (p *parts) ready() error {
	if !p.follower.Bootstrapped() {
		return &StartingError{}
	}
	return p.lease.Check()
}
