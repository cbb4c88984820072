// Package quota keeps every organisation within its rate and burst over all daemons together.
//
// Each organisation has a few homes among the daemons. A home mints an equal share of the rate into a bucket with an
// equal share of the burst. A daemon admits requests from its own bucket, if it is a home, and from tokens that
// homes have granted it. At any moment the unspent tokens of all homes and grants together are at most the burst, so
// any interval of t seconds admits at most burst + rate × t.
package quota

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gooseberryway/gooseberryway/internal/protocol/wire"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
	"github.com/gooseberryway/gooseberryway/internal/state/scope"
)

// Peers sends messages to other daemons.
type Peers interface {
	// Grant asks a home for tokens. An error says that the request may have been handled or not.
	Grant(ctx context.Context, home ident.DaemonID, req *wire.GrantRequest) (*wire.GrantResponse, error)
}

// Limiter admits requests at one daemon and grants tokens to other daemons. Set the exported fields, call Observe with
// the first view, then Run; Close ends it.
type Limiter struct {
	Self ident.DaemonID
	// Incarnation of this daemon; a restarted daemon has a higher one.
	Incarnation ident.Incarnation
	Peers       Peers
	// HoldsLease tells whether this daemon holds its serving lease; nil means always.
	HoldsLease func() bool
	// MaxWait limits how long a request waits for tokens; a shorter deadline of its context holds too.
	// With 0 a request waits for the homes' answers only.
	MaxWait time.Duration

	life      scope.Scope
	entries   table[ident.OrganisationID, entry]
	links     table[ident.DaemonID, link]
	askers    table[ident.DaemonID, asker]
	view      atomic.Pointer[observed]
	observing sync.Mutex
}

// observed is a view and since when its members are the same.
type observed struct {
	View
	membersSince time.Time
}

// Observe takes over a view. It must be called with each view in turn, before the daemon serves by it. A share that
// the view takes away mints nothing from the return of the call on.
func (l *Limiter) Observe(v View) {
	l.observing.Lock()
	defer l.observing.Unlock()
	now := time.Now()
	next := &observed{View: v, membersSince: now}
	if last := l.view.Load(); last != nil && slices.Equal(last.membersRevisions(), v.membersRevisions()) {
		next.membersSince = last.membersSince
	}
	l.view.Store(next)
	l.entries.all(func(e *entry) {
		e.mu.Lock()
		e.observe(next, now)
		e.mu.Unlock()
	})
}

// Run serves until the context ends or Close is called.
func (l *Limiter) Run(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-l.life.Context().Done():
	}
}

// Close refuses the waiting requests and returns when everything that the limiter started has ended.
func (l *Limiter) Close() { l.life.Close() }

func (l *Limiter) serving() bool {
	return l.HoldsLease == nil || l.HoldsLease()
}

// entry returns the entry of an organisation, which it creates when the organisation exists; else nil.
func (l *Limiter) entry(org ident.OrganisationID) *entry {
	if e, ok := l.entries.load(org); ok {
		return e
	}
	l.observing.Lock()
	defer l.observing.Unlock()
	v := l.view.Load()
	if v == nil {
		return nil
	}
	if _, ok := v.limitOf(org); !ok {
		return nil
	}
	e := &entry{limiter: l, org: org, peers: make(map[ident.DaemonID]*peer), wake: make(chan struct{}, 1)}
	e.observe(v, v.membersSince)
	return l.entries.loadOrStore(org, e)
}
