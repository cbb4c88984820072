// Package daemon assembles a daemon from its parts and runs it from start to graceful shutdown.
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
	"github.com/gooseberryway/gooseberryway/internal/transport/meter"
)

// Daemon is one process of the system. Its fields are set before Run.
type Daemon struct {
	Settings *setup.Settings
	// OnAdmit is called with the charge of each request that is admitted; nil for none.
	OnAdmit func(ident.OrganisationID, serve.Reservation)
	// OnDispatch is called for each attempt that is sent to an engine; nil for none.
	OnDispatch func(ident.VersionID, ident.RouteID)

	addresses atomic.Pointer[setup.Addresses]
	listening chan struct{}
	killed    chan struct{}
	once      sync.Once
	kill      sync.Once
	parts     *parts
}

func (d *Daemon) init() {
	d.once.Do(func() {
		d.listening = make(chan struct{})
		d.killed = make(chan struct{})
	})
}

// Listening returns a channel that is closed once Addresses may be called.
func (d *Daemon) Listening() <-chan struct{} {
	d.init()
	return d.listening
}

// Addresses returns the addresses that others reach the daemon by.
func (d *Daemon) Addresses() setup.Addresses { return *d.addresses.Load() }

// Ready returns nil once the daemon has loaded a snapshot and holds a serving lease.
func (d *Daemon) Ready() error {
	select {
	case <-d.Listening():
		return d.parts.ready()
	default:
		return &StartingError{}
	}
}

// ConfigInForce returns nil once, beyond Ready, the newest configuration that the daemon knows is in force.
func (d *Daemon) ConfigInForce() error {
	if err := d.Ready(); err != nil {
		return err
	}
	return d.parts.settled()
}

// ConfigNotInForceError says that the newest configuration is not in force yet.
type ConfigNotInForceError struct {
	Applied, InForce ident.Offset
}

func (e *ConfigNotInForceError) Error() string {
	return fmt.Sprintf("offset %d is applied, %d is in force", e.Applied, e.InForce)
}

// StartingError says that a daemon has not loaded a snapshot yet.
type StartingError struct{}

func (e *StartingError) Error() string { return "the daemon is starting" }

// Run serves until ctx ends, and then leaves: it is no longer handed out by locate, finishes what it has begun and
// closes. It returns the first failure of a listener, or nil.
func (d *Daemon) Run(ctx context.Context) error {
	d.init()
	sockets, err := listen(ctx, d.Settings.Listen)
	if err != nil {
		return err
	}
	defer sockets.close()
	advertised := sockets.advertise(d.Settings.Advertise)
	p, err := build(d.Settings, advertised)
	if err != nil {
		return err
	}
	p.service.OnAdmit = d.OnAdmit
	p.picks.dispatched = d.OnDispatch
	d.parts = p
	d.addresses.Store(&advertised)
	close(d.listening)
	klog.InfoS("Daemon listens", "daemon", d.Settings.DaemonID, "failureDomain", d.Settings.FailureDomain,
		"callers", advertised.Callers, "peers", advertised.Peers, "admin", advertised.Admin)
	return d.run(ctx, sockets)
}

// run starts all parts, waits for the end of ctx or of a listener, and leaves.
func (d *Daemon) run(ctx context.Context, sockets *sockets) error {
	life, end := context.WithCancel(context.Background())
	var background sync.WaitGroup
	d.parts.start(life, &background)

	group, failed := errgroup.WithContext(context.WithoutCancel(ctx))
	group.Go(func() (err error) {
		meter.WithProfileLabel(ctx, func(context.Context) {
			err = d.parts.peers.Serve(&meter.Listener{Listener: sockets.peers, Link: meter.LinkPeers})
		})
		return err
	})
	group.Go(func() error { return d.parts.admin.Serve(sockets.admin) })
	group.Go(func() error { return d.parts.callers.Serve(sockets.callers) })
	select {
	case <-ctx.Done():
		d.leave()
	case <-d.killed:
		d.parts.cutListeners()
	case <-failed.Done():
		klog.ErrorS(context.Cause(failed), "A listener failed", "daemon", d.Settings.DaemonID)
	}
	d.parts.stopListeners()
	err := group.Wait()
	end()
	d.parts.close()
	background.Wait()
	klog.InfoS("Daemon stopped", "daemon", d.Settings.DaemonID)
	return err
}

// sockets are the listeners of a daemon.
type sockets struct {
	callers, peers, admin net.Listener
}

// ListenError says that an address can't be listened on.
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

// advertise returns the advertised addresses, with the ports that were picked where the settings leave them open.
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

// self is the id of the daemon.
func (d *Daemon) self() ident.DaemonID { return d.Settings.DaemonID }

// Kill ends the daemon at once, as a crash does: connections break and nobody is told. Run returns afterwards.
func (d *Daemon) Kill() {
	d.init()
	d.kill.Do(func() { close(d.killed) })
}
