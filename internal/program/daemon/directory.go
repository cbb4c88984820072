package daemon

import (
	"context"
	"slices"
	"sync/atomic"

	"github.com/gooseberryway/gooseberryway/internal/state/extern"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

// directory knows the peer addresses of daemons from the VM list, for the time before the configuration is loaded.
// It passes the VM list on and remembers the last one.
type directory struct {
	vms    extern.VMList
	self   ident.DaemonID
	domain ident.FailureDomain
	last   atomic.Pointer[[]extern.VM]
}

// List implements extern.VMList.
func (d *directory) List(ctx context.Context) ([]extern.VM, error) {
	vms, err := d.vms.List(ctx)
	if err == nil {
		d.last.Store(&vms)
	}
	return vms, err
}

// seeds returns the daemons of the VM list, those of the own failure domain first.
func (d *directory) seeds() []ident.DaemonID {
	if d.last.Load() == nil {
		ctx, cancel := context.WithTimeout(context.Background(), seedTimeout)
		defer cancel()
		_, _ = d.List(ctx)
	}
	vms := d.last.Load()
	if vms == nil {
		return nil
	}
	var near, far []ident.DaemonID
	for _, vm := range *vms {
		switch {
		case vm.Daemon == d.self || vm.Leaving:
		case vm.FailureDomain == d.domain:
			near = append(near, vm.Daemon)
		default:
			far = append(far, vm.Daemon)
		}
	}
	return append(near, far...)
}

// address returns the peer address that the VM list names for a daemon.
func (d *directory) address(id ident.DaemonID) (string, bool) {
	vms := d.last.Load()
	if vms == nil {
		return "", false
	}
	i := slices.IndexFunc(*vms, func(vm extern.VM) bool { return vm.Daemon == id })
	if i < 0 {
		return "", false
	}
	return (*vms)[i].PeerAddress, true
}
