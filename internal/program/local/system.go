// Package local runs a complete system on loopback in one process: stand-ins of the platform and of engines,
// and daemons that talk over real sockets. The demo, the load tool and tests use it.
package local

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"sync"
	"time"

	"github.com/gooseberryway/gooseberryway/internal/coordination/serve"
	"github.com/gooseberryway/gooseberryway/internal/program/daemon"
	"github.com/gooseberryway/gooseberryway/internal/program/setup"
	"github.com/gooseberryway/gooseberryway/internal/standin/engine"
	"github.com/gooseberryway/gooseberryway/internal/standin/logsvc"
	"github.com/gooseberryway/gooseberryway/internal/standin/vmlist"
	"github.com/gooseberryway/gooseberryway/internal/state/config"
	"github.com/gooseberryway/gooseberryway/internal/state/extern"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

// System is a complete system of stand-ins and daemons. Its exported fields are set before Start, except Keys and
// OperatorKey, which Start sets. Start also sets Log and VMs if they are nil.
type System struct {
	// DaemonCount is the number of daemons. Daemons and engines are distributed over FailureDomains in turn.
	DaemonCount    int
	FailureDomains []ident.FailureDomain
	// EngineCount is the number of engines, EngineSettings their common settings.
	EngineCount    int
	EngineSettings engine.Settings
	Model          ident.ModelID
	Version        ident.VersionID
	// NewVersions are versions that are configured but not loaded by any engine.
	NewVersions   []ident.VersionID
	Organisations []config.Organisation
	// Upstreams are further upstreams in addition to the engines.
	Upstreams []config.Upstream
	// Routes are further routes in addition to each team's route to the model.
	Routes []config.Route
	// AdjustSettings changes the settings of each daemon; nil for none.
	AdjustSettings func(*setup.Settings)

	// OnAdmit is called for each request that a daemon admits; nil for none.
	OnAdmit func(ident.OrganisationID, serve.Reservation)
	// OnDispatch is called for each attempt that a daemon sends to an engine; nil for none.
	OnDispatch func(ident.VersionID, ident.RouteID)

	// Log is the stand-in of the log service.
	Log *logsvc.Service
	// VMs is the stand-in of the VM list.
	VMs *vmlist.List
	// Keys holds one key of each organisation, OperatorKey the key of an operator with all rights.
	Keys        map[ident.OrganisationID]string
	OperatorKey string

	engines     []*engine.Engine
	sharedToken string
	runCtx      context.Context
	cancelRun   context.CancelFunc
	mu          sync.Mutex
	processes   []*daemonProcess
}

// daemonProcess is a daemon that runs in this process. err is the result of its Run, valid once done is closed.
type daemonProcess struct {
	settings *setup.Settings
	daemon   *daemon.Daemon
	stop     context.CancelFunc
	done     chan struct{}
	err      error
}

// NotReadyError reports a daemon that stopped, or that did not become ready before the timeout.
type NotReadyError struct {
	Daemon ident.DaemonID
	Err    error
}

func (e *NotReadyError) Error() string {
	return fmt.Sprintf("daemon %s is not ready: %v", e.Daemon, e.Err)
}

func (e *NotReadyError) Unwrap() error { return e.Err }

// Start starts the stand-ins and the daemons, and returns when all daemons serve and the configuration is in force. If a
// daemon does not become ready, the error is a *NotReadyError. The system runs until Close, also after ctx has ended.
func (s *System) Start(ctx context.Context) error {
	s.runCtx, s.cancelRun = context.WithCancel(context.WithoutCancel(ctx))
	s.sharedToken = randomHex(sharedTokenBytes)
	s.OperatorKey = "gbo-" + randomHex(sharedTokenBytes)
	if s.Log == nil {
		s.Log = &logsvc.Service{AppendsPerSecond: appendsPerSecond}
	}
	if err := s.Log.Start(s.runCtx); err != nil {
		return err
	}
	if s.VMs == nil {
		s.VMs = &vmlist.List{}
	}
	if err := s.VMs.Start(s.runCtx); err != nil {
		return err
	}
	if err := s.startEngines(); err != nil {
		return err
	}
	if err := s.writeConfiguration(ctx); err != nil {
		return err
	}
	s.processes = make([]*daemonProcess, s.DaemonCount)
	for i := range s.DaemonCount {
		s.StartDaemon(i)
	}
	return s.WaitReady(ctx)
}

func (s *System) startEngines() error {
	for i := range s.EngineCount {
		e := &engine.Engine{Settings: s.EngineSettings}
		e.ID = ident.UpstreamID(fmt.Sprintf("engine-%02d", i+1))
		e.Model = s.Model
		e.Versions = append([]ident.VersionID{s.Version}, s.EngineSettings.Versions...)
		e.Seed = s.EngineSettings.Seed + uint64(i)
		if e.BlockTokens == 0 {
			e.BlockTokens = defaultBlockTokens
		}
		if err := e.Start(s.runCtx); err != nil {
			return err
		}
		s.engines = append(s.engines, e)
	}
	return nil
}

// EngineList returns the engines.
func (s *System) EngineList() []*engine.Engine { return s.engines }

// DaemonID returns the id of the daemon with the index.
func DaemonID(i int) ident.DaemonID { return ident.DaemonID(fmt.Sprintf("daemon-%d", i+1)) }

// failureDomain returns the failure domain of the daemon or engine with the index.
func (s *System) failureDomain(i int) ident.FailureDomain {
	return s.FailureDomains[i%len(s.FailureDomains)]
}

// StartDaemon starts the daemon with the index, which must not be running, and returns at once.
func (s *System) StartDaemon(i int) {
	settings := setup.Default()
	settings.DaemonID = DaemonID(i)
	settings.FailureDomain = s.failureDomain(i)
	settings.Listen = setup.Addresses{Callers: loopbackAnyPort, Peers: loopbackAnyPort, Admin: loopbackAnyPort}
	settings.Advertise = settings.Listen
	settings.LogService = setup.Service{URL: s.Log.URL(), TimeoutMs: callTimeoutMs}
	settings.VMList = setup.Service{URL: s.VMs.URL(), TimeoutMs: callTimeoutMs}
	settings.SharedToken = s.sharedToken
	// The daemons share the memory of this process.
	settings.Resources = setup.Resources{}
	digest := ident.DigestOf(s.OperatorKey)
	settings.BootstrapOperator = &setup.BootstrapOperator{ID: "root", KeyDigestSHA256: hex.EncodeToString(digest[:])}
	if s.AdjustSettings != nil {
		s.AdjustSettings(&settings)
	}
	ctx, stop := context.WithCancel(s.runCtx)
	p := &daemonProcess{settings: &settings, daemon: &daemon.Daemon{Settings: &settings, OnAdmit: s.OnAdmit, OnDispatch: s.OnDispatch}, stop: stop, done: make(chan struct{})}
	s.mu.Lock()
	s.processes[i] = p
	s.mu.Unlock()
	go func() {
		<-p.daemon.Listening()
		s.VMs.Put(extern.VM{Daemon: settings.DaemonID, PeerAddress: p.daemon.Addresses().Peers, FailureDomain: settings.FailureDomain})
	}()
	go func() {
		defer close(p.done)
		p.err = p.daemon.Run(ctx)
	}()
}

func (s *System) process(i int) *daemonProcess {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.processes[i]
}

// StopDaemon shuts the daemon with the index down gracefully and returns the error of its Run when it has stopped.
func (s *System) StopDaemon(i int) error {
	p := s.process(i)
	p.stop()
	<-p.done
	return p.err
}

// KillDaemon stops the daemon with the index without a graceful shutdown, like a crash of its VM.
func (s *System) KillDaemon(i int) {
	p := s.process(i)
	p.daemon.Kill()
	<-p.done
}

// Daemon returns the daemon with the index.
func (s *System) Daemon(i int) *daemon.Daemon { return s.process(i).daemon }

// Addresses returns the addresses at which the daemons serve callers. Call it while none is stopped.
func (s *System) Addresses() []string {
	return s.listeningAddresses(func(a setup.Addresses) string { return a.Callers })
}

// AdminAddresses returns the addresses at which the daemons serve the admin API. Call it while none is stopped.
func (s *System) AdminAddresses() []string {
	return s.listeningAddresses(func(a setup.Addresses) string { return a.Admin })
}

// listeningAddresses returns an address of each daemon. It waits until each listens or has stopped. One that has stopped
// after it listened may be among them.
func (s *System) listeningAddresses(pick func(setup.Addresses) string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var addresses []string
	for _, p := range s.processes {
		select {
		case <-p.done:
		case <-p.daemon.Listening():
			addresses = append(addresses, pick(p.daemon.Addresses()))
		}
	}
	return addresses
}

// WaitReady returns when all daemons serve and the newest configuration is in force. The error is a *NotReadyError.
func (s *System) WaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for i := range s.DaemonCount {
		if err := s.waitDaemonReady(ctx, i); err != nil {
			return err
		}
	}
	return nil
}

func (s *System) waitDaemonReady(ctx context.Context, i int) error {
	ticker := time.NewTicker(readyPollInterval)
	defer ticker.Stop()
	for {
		p := s.process(i)
		err := p.daemon.ConfigInForce()
		if err == nil {
			return nil
		}
		select {
		case <-p.done:
			return &NotReadyError{Daemon: DaemonID(i), Err: p.err}
		case <-ctx.Done():
			return &NotReadyError{Daemon: DaemonID(i), Err: err}
		case <-ticker.C:
		}
	}
}

// Close stops the daemons and the stand-ins, without a graceful shutdown.
func (s *System) Close() {
	for i, p := range s.processes {
		if p != nil {
			s.KillDaemon(i)
		}
	}
	for _, e := range s.engines {
		_ = e.Close()
	}
	if s.Log != nil {
		_ = s.Log.Close()
	}
	if s.VMs != nil {
		_ = s.VMs.Close()
	}
	if s.cancelRun != nil {
		s.cancelRun()
	}
}

func randomHex(n int) string {
	raw := make([]byte, n)
	_, _ = rand.Read(raw)
	return hex.EncodeToString(raw)
}
