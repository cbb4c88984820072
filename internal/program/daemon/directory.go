package daemon

import (
	"context"
	"slices"
	"sync/atomic"

	"github.com/gooseberryway/gooseberryway/internal/state/extern"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

// directory looks up the peer addresses of daemons in the VM list, for use before the configuration is loaded. It wraps a
// VM list and caches its last successful response.
type directory struct {
	vms           extern.VMList
	self          ident.DaemonID
	failureDomain ident.FailureDomain
	lastList      atomic.Pointer[[]extern.VM]
}

// List implements extern.VMList.
func (d *directory) List(ctx context.Context) ([]extern.VM, error) {
	vms, err := d.vms.List(ctx)
	if err == nil {
		d.lastList.Store(&vms)
	}
	return vms, err
}

// seeds returns the daemons in the VM list that are not leaving, except this one. Those of its own failure domain come
// first. It returns nil if the VM list has never been read.
func (d *directory) seeds() []ident.DaemonID {
	if d.lastList.Load() == nil {
		ctx, cancel := context.WithTimeout(context.Background(), vmListTimeout)
		defer cancel()
		_, _ = d.List(ctx)
	}
	vms := d.lastList.Load()
	if vms == nil {
		return nil
	}
	var sameDomain, otherDomains []ident.DaemonID
	for _, vm := range *vms {
		switch {
		case vm.Daemon == d.self || vm.Leaving:
		case vm.FailureDomain == d.failureDomain:
			sameDomain = append(sameDomain, vm.Daemon)
		default:
			otherDomains = append(otherDomains, vm.Daemon)
		}
	}
	return append(sameDomain, otherDomains...)
}

// address returns the peer address of a daemon in the cached VM list.
func (d *directory) address(id ident.DaemonID) (string, bool) {
	vms := d.lastList.Load()
	if vms == nil {
		return "", false
	}
	i := slices.IndexFunc(*vms, func(vm extern.VM) bool { return vm.Daemon == id })
	if i < 0 {
		return "", false
	}
	return (*vms)[i].PeerAddress, true
}
