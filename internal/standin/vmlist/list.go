// Package vmlist is a stand-in for the platform's VM list, in which changes become visible only after a lag.
package vmlist

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/gooseberryway/gooseberryway/internal/standin/httpd"
	"github.com/gooseberryway/gooseberryway/internal/state/extern"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
	wirevms "github.com/gooseberryway/gooseberryway/internal/transport/vmlist"
)

// List is the stand-in. It implements extern.VMList, for tests without sockets, and serves the list over HTTP.
type List struct {
	httpd.Base
	// Lag is the time after which a change becomes visible.
	Lag time.Duration

	mu sync.Mutex
	// history holds the visible list and those that become visible later, oldest first.
	history []snapshot
}

// snapshot is one state of the list.
type snapshot struct {
	visibleFrom time.Time
	vms         []extern.VM
}

// OutageError is returned for a call during an outage.
type OutageError struct{}

func (e *OutageError) Error() string { return "the VM list is not available" }

var _ extern.VMList = (*List)(nil)

// Set replaces the list. The first list is visible at once, later ones after Lag.
func (l *List) Set(vms []extern.VM) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.addSnapshot(slices.Clone(vms))
}

// Put adds a VM or replaces the one with the same daemon id; the change is visible after Lag.
func (l *List) Put(vm extern.VM) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.addSnapshot(append(l.newestWithout(vm.Daemon), vm))
}

// Remove removes a VM; the change is visible after Lag.
func (l *List) Remove(id ident.DaemonID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.addSnapshot(l.newestWithout(id))
}

// List implements extern.VMList. The error is an *extern.UpstreamError.
func (l *List) List(context.Context) ([]extern.VM, error) {
	if l.Outage() {
		return nil, &extern.UpstreamError{Kind: extern.UpstreamOverloaded, Err: &OutageError{}}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	for len(l.history) > 1 && !l.history[1].visibleFrom.After(now) {
		l.history = l.history[1:]
	}
	if len(l.history) == 0 || l.history[0].visibleFrom.After(now) {
		return nil, nil
	}
	return slices.Clone(l.history[0].vms), nil
}

// Handler serves GET /v1/vms, PUT /v1/vms to replace the list, and POST /standin/control for tests.
func (l *List) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/vms", func(w http.ResponseWriter, r *http.Request) {
		if l.RejectInOutage(w) {
			return
		}
		vms, err := l.List(r.Context())
		if err != nil {
			httpd.Abort()
		}
		httpd.WriteJSON(w, http.StatusOK, wirevms.ListResponse{VMs: vms})
	})
	mux.HandleFunc("PUT /v1/vms", httpd.Decode(func(doc wirevms.ListResponse) { l.Set(doc.VMs) }))
	mux.HandleFunc("POST /standin/control", httpd.Decode(func(c Control) { l.SetOutage(c.Outage) }))
	return mux
}

// Control is the body of POST /standin/control.
type Control struct {
	Outage bool `json:"outage"`
}

// Start listens on Address and serves until Close.
func (l *List) Start(ctx context.Context) error { return l.Listen(ctx, l.Handler()) }

// newestWithout returns a copy of the newest list, visible or not, without the VM of the daemon; l.mu is held.
func (l *List) newestWithout(id ident.DaemonID) []extern.VM {
	if len(l.history) == 0 {
		return nil
	}
	vms := slices.Clone(l.history[len(l.history)-1].vms)
	return slices.DeleteFunc(vms, func(vm extern.VM) bool { return vm.Daemon == id })
}

// addSnapshot adds a list that becomes visible after Lag, or at once if it is the first; l.mu is held.
func (l *List) addSnapshot(vms []extern.VM) {
	visibleFrom := time.Now()
	if len(l.history) > 0 {
		visibleFrom = visibleFrom.Add(l.Lag)
	}
	l.history = append(l.history, snapshot{visibleFrom: visibleFrom, vms: vms})
}
