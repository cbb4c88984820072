// Package vmlist is a stand-in for the platform's VM list, which shows changes late.
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

// List is the stand-in. It implements extern.VMList itself, for tests without sockets.
type List struct {
	httpd.Base
	// Lag is the age of what the list shows.
	Lag time.Duration

	mu sync.Mutex
	// history has the lists with the times from which they are shown, oldest first.
	history []snapshot
}

type snapshot struct {
	at  time.Time
	vms []extern.VM
}

// OutageError is a call during an outage.
type OutageError struct{}

func (e *OutageError) Error() string { return "the VM list is not available" }

var _ extern.VMList = (*List)(nil)

// Set replaces the list.
func (l *List) Set(vms []extern.VM) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.push(slices.Clone(vms))
}

// Put adds a VM or replaces the one with its id.
func (l *List) Put(vm extern.VM) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.push(append(l.without(vm.Daemon), vm))
}

// Remove drops a VM.
func (l *List) Remove(id ident.DaemonID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.push(l.without(id))
}

// List implements extern.VMList. The error is an *extern.UpstreamError.
func (l *List) List(context.Context) ([]extern.VM, error) {
	if l.Outage() {
		return nil, &extern.UpstreamError{Kind: extern.UpstreamOverloaded, Err: &OutageError{}}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	for len(l.history) > 1 && !l.history[1].at.After(now) {
		l.history = l.history[1:]
	}
	if len(l.history) == 0 || l.history[0].at.After(now) {
		return nil, nil
	}
	return slices.Clone(l.history[0].vms), nil
}

// Handler serves GET /v1/vms, and PUT /v1/vms to replace the list.
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
		httpd.WriteJSON(w, http.StatusOK, wirevms.Document{VMs: vms})
	})
	mux.HandleFunc("PUT /v1/vms", httpd.Decode(func(doc wirevms.Document) { l.Set(doc.VMs) }))
	mux.HandleFunc("POST /standin/control", httpd.Decode(func(c Control) { l.SetOutage(c.Outage) }))
	return mux
}

// Control is the body of POST /standin/control.
type Control struct {
	Outage bool `json:"outage"`
}

// Start listens on Address and serves until Close.
func (l *List) Start(ctx context.Context) error { return l.Listen(ctx, l.Handler()) }

// without returns a copy of the newest list without a VM; l.mu is held.
func (l *List) without(id ident.DaemonID) []extern.VM {
	if len(l.history) == 0 {
		return nil
	}
	vms := slices.Clone(l.history[len(l.history)-1].vms)
	return slices.DeleteFunc(vms, func(vm extern.VM) bool { return vm.Daemon == id })
}

// push adds a list that shows once the lag has passed; the first list shows at once.
func (l *List) push(vms []extern.VM) {
	at := time.Now()
	if len(l.history) > 0 {
		at = at.Add(l.Lag)
	}
	l.history = append(l.history, snapshot{at: at, vms: vms})
}
