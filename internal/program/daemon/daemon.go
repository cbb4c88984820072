// Package daemon builds a daemon from its settings: it wires the clients, the coordination modules and the servers together
// and runs them from startup to graceful shutdown.
package daemon

import (
	"context"
	"fmt"
	"net"
	"sync"
	"sync/atomic"

	"golang.org/x/sync/errgroup"
	"k8s.io/klog/v2"

	"github.com/gooseberryway/gooseberryway/internal/coordination/serve"
	"github.com/gooseberryway/gooseberryway/internal/program/setup"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
	"github.com/gooseberryway/gooseberryway/internal/transport/intake"
	"github.com/gooseberryway/gooseberryway/internal/transport/meter"
	"github.com/gooseberryway/gooseberryway/internal/transport/rest"
)

// Daemon is one router process of the fleet. Set its fields before Run.
type Daemon struct {
	Settings *setup.Settings
	// OnAdmit is called with the reservation of each admitted request. It may be nil.
	OnAdmit func(ident.OrganisationID, serve.Reservation)
	// OnDispatch is called for each attempt that is sent to an engine. It may be nil.
	OnDispatch func(ident.VersionID, ident.RouteID)

	addresses  atomic.Pointer[setup.Addresses]
	listening  chan struct{}
	killed     chan struct{}
	initOnce   sync.Once
	killOnce   sync.Once
	components *components
	// gate bounds what the connections of all listeners hold.
	gate intake.Gate
}

func (d *Daemon) init() {
	d.initOnce.Do(func() {
		d.listening = make(chan struct{})
		d.killed = make(chan struct{})
	})
}

// Listening returns a channel that is closed once Addresses may be called.
func (d *Daemon) Listening() <-chan struct{} {
	d.init()
	return d.listening
}

// Addresses returns the advertised addresses of the daemon. It must not be called before Listening is closed.
func (d *Daemon) Addresses() setup.Addresses { return *d.addresses.Load() }

// Ready returns nil once the daemon has loaded a snapshot and holds a serving lease. Otherwise it returns a *StartingError
// or the error of the lease.
func (d *Daemon) Ready() error {
	select {
	case <-d.Listening():
		return d.components.ready()
	default:
		return &StartingError{}
	}
}

// ConfigInForce returns nil once the daemon is ready, has joined, and the newest configuration that it knows is in force.
// Otherwise it returns the error of Ready or a *ConfigNotInForceError.
func (d *Daemon) ConfigInForce() error {
	if err := d.Ready(); err != nil {
		return err
	}
	return d.components.configInForce()
}

// ConfigNotInForceError reports that the newest configuration is not in force yet or that the daemon has not joined.
type ConfigNotInForceError struct {
	Applied, InForce ident.Offset
}

func (e *ConfigNotInForceError) Error() string {
	return fmt.Sprintf("offset %d is applied, %d is in force", e.Applied, e.InForce)
}

// StartingError reports that a daemon has not loaded a snapshot yet.
type StartingError struct{}

func (e *StartingError) Error() string { return "the daemon is starting" }

// Run serves until ctx ends and then leaves the fleet: locate stops returning the daemon, open requests are drained, and
// the listeners close. It returns nil, the error of build, a *ListenError, or the first error of a listener while serving.
func (d *Daemon) Run(ctx context.Context) error {
	d.init()
	d.gate.MemoryBytes, d.gate.Descriptors = int64(d.Settings.Resources.MemoryMB*bytesPerMB), d.Settings.Resources.FileDescriptors
	sockets, err := listen(ctx, d.Settings.Listen)
	if err != nil {
		return err
	}
	defer sockets.close()
	advertised := sockets.advertise(d.Settings.Advertise)
	c, err := build(d.Settings, advertised, &d.gate)
	if err != nil {
		return err
	}
	c.service.OnAdmit = d.OnAdmit
	c.picker.onDispatch = d.OnDispatch
	d.components = c
	d.addresses.Store(&advertised)
	close(d.listening)
	klog.InfoS("Daemon is listening", "daemon", d.Settings.DaemonID, "failureDomain", d.Settings.FailureDomain,
		"callers", advertised.Callers, "peers", advertised.Peers, "admin", advertised.Admin)
	return d.run(ctx, sockets)
}

// run starts the components and serves until ctx ends, Kill is called or a listener fails. Only the end of ctx is followed by
// a drain.
func (d *Daemon) run(ctx context.Context, sockets *sockets) error {
	runCtx, cancel := context.WithCancel(context.Background())
	var background sync.WaitGroup
	d.components.start(runCtx, &background)

	group, groupCtx := errgroup.WithContext(context.WithoutCancel(ctx))
	group.Go(func() (err error) {
		meter.WithProfileLabel(ctx, func(context.Context) {
			err = d.components.peers.Serve(d.guardPeers(&meter.Listener{Listener: sockets.peers, Link: meter.LinkPeers}))
		})
		return err
	})
	group.Go(func() error { return d.components.admin.Serve(d.guard(d.components.admin, sockets.admin, "admin")) })
	group.Go(func() error {
		return d.components.callers.Serve(d.guard(d.components.callers, sockets.callers, "callers"))
	})
	select {
	case <-ctx.Done():
		d.leave()
	case <-d.killed:
		d.components.abortListeners()
	case <-groupCtx.Done():
		klog.ErrorS(context.Cause(groupCtx), "A listener failed", "daemon", d.Settings.DaemonID)
	}
	d.components.stopListeners()
	err := group.Wait()
	cancel()
	d.components.close()
	background.Wait()
	klog.InfoS("Daemon stopped", "daemon", d.Settings.DaemonID)
	return err
}

// guard returns a listener that bounds what the connections of a server hold.
func (d *Daemon) guard(server *rest.Server, l net.Listener, name string) net.Listener {
	if server.TLS != nil {
		return d.gate.GuardTLS(server.HTTP, server.TLS, l, name)
	}
	return d.gate.Guard(server.HTTP, l, name)
}

func (d *Daemon) guardPeers(l net.Listener) net.Listener {
	if d.components.peers.TLS != nil {
		return d.gate.GuardTLS(d.components.peers.HTTP, d.components.peers.TLS, l, "peers")
	}
	return d.gate.GuardHTTP2(d.components.peers.HTTP, l, "peers")
}

// sockets are the listening sockets of a daemon.
type sockets struct {
	callers, peers, admin net.Listener
}

// ListenError reports that the daemon can't listen on the address of a setting.
type ListenError struct {
	Setting string
	Err     error
}

func (e *ListenError) Error() string { return "listen." + e.Setting + ": " + e.Err.Error() }

func (e *ListenError) Unwrap() error { return e.Err }

func listen(ctx context.Context, a setup.Addresses) (*sockets, error) {
	s := &sockets{}
	var lc net.ListenConfig
	for _, socket := range []struct {
		setting, address string
		listener         *net.Listener
	}{
		{"callers", a.Callers, &s.callers},
		{"peers", a.Peers, &s.peers},
		{"admin", a.Admin, &s.admin},
	} {
		l, err := lc.Listen(ctx, "tcp", socket.address)
		if err != nil {
			s.close()
			return nil, &ListenError{Setting: socket.setting, Err: err}
		}
		*socket.listener = l
	}
	return s, nil
}

func (s *sockets) close() {
	for _, l := range []net.Listener{s.callers, s.peers, s.admin} {
		if l != nil {
			_ = l.Close()
		}
	}
}

// advertise returns the advertised addresses. A port 0 in the settings is replaced by the port that the system assigned.
func (s *sockets) advertise(a setup.Addresses) setup.Addresses {
	return setup.Addresses{
		Callers: withPort(a.Callers, s.callers),
		Peers:   withPort(a.Peers, s.peers),
		Admin:   withPort(a.Admin, s.admin),
	}
}

func withPort(address string, l net.Listener) string {
	host, port, err := net.SplitHostPort(address)
	if err != nil || port != "0" {
		return address
	}
	_, picked, err := net.SplitHostPort(l.Addr().String())
	if err != nil {
		return address
	}
	return net.JoinHostPort(host, picked)
}

func (d *Daemon) self() ident.DaemonID { return d.Settings.DaemonID }

// Kill stops the daemon at once, like a crash: connections are broken, open requests are not drained and no record of the
// departure is written. Run returns afterwards.
func (d *Daemon) Kill() {
	d.init()
	d.killOnce.Do(func() { close(d.killed) })
}
