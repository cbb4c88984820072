// Package quota enforces the rate limit of every organisation, a rate and a burst in tokens, over all daemons
// together.
//
// A few daemons are the homes of an organisation. Each home has a token bucket with an equal share of the rate and of
// the burst. A daemon admits requests from its own bucket, if it is a home, and from grants: tokens that other homes
// have issued to it for a short time (grantTTL). The unspent tokens of all buckets and grants together never exceed
// the burst, so any interval of t seconds admits at most burst + rate × t tokens. Who the homes are and what the
// limits are follows from the replayed state (View).
//
// A daemon requests tokens from homes with asks, and reports with settlements which tokens of a grant were spent, and
// which were returned or charged but not used.
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
	// Grant sends a request to a home. After an error the home may or may not have handled it.
	Grant(ctx context.Context, home ident.DaemonID, req *wire.GrantRequest) (*wire.GrantResponse, error)
}

// Limiter admits requests at one daemon and, as a home, grants tokens to other daemons. Set the exported fields, call
// Observe with the first view, then Run; Close stops it.
type Limiter struct {
	Self ident.DaemonID
	// Incarnation of this daemon; a restarted daemon has a higher one.
	Incarnation ident.Incarnation
	Peers       Peers
	// HoldsLease reports whether this daemon holds its serving lease; nil means always.
	HoldsLease func() bool
	// MaxWait limits how long a request waits for tokens; an earlier deadline of its context applies too. With 0 a
	// request waits only for the answers of homes that may have tokens.
	MaxWait time.Duration

	scope       scope.Scope
	orgLimiters syncMap[ident.OrganisationID, orgLimiter]
	homeClients syncMap[ident.DaemonID, homeClient]
	askers      syncMap[ident.DaemonID, askerState]
	view        atomic.Pointer[observedView]
	observeMu   sync.Mutex
}

// observedView is a view and the time since which its members have been the same.
type observedView struct {
	View
	membersUnchangedSince time.Time
}

// Observe applies a view. It must be called with every view in order, before the daemon serves by it. Once it
// returns, a share that the view takes away issues no more tokens.
func (l *Limiter) Observe(v View) {
	l.observeMu.Lock()
	defer l.observeMu.Unlock()
	now := time.Now()
	next := &observedView{View: v, membersUnchangedSince: now}
	if last := l.view.Load(); last != nil && slices.Equal(last.memberRevisions(), v.memberRevisions()) {
		next.membersUnchangedSince = last.membersUnchangedSince
	}
	l.view.Store(next)
	l.orgLimiters.forEach(func(o *orgLimiter) {
		o.mu.Lock()
		o.observe(next, now)
		o.mu.Unlock()
	})
}

// Run blocks until the context ends or Close is called.
func (l *Limiter) Run(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-l.scope.Context().Done():
	}
}

// Close refuses the waiting requests and waits for all goroutines of the limiter.
func (l *Limiter) Close() { l.scope.Close() }

func (l *Limiter) serving() bool {
	return l.HoldsLease == nil || l.HoldsLease()
}

// orgLimiter returns the limiter of an organisation and creates it if needed; nil when the organisation does not
// exist.
func (l *Limiter) orgLimiter(org ident.OrganisationID) *orgLimiter {
	if o, ok := l.orgLimiters.load(org); ok {
		return o
	}
	l.observeMu.Lock()
	defer l.observeMu.Unlock()
	v := l.view.Load()
	if v == nil {
		return nil
	}
	if _, ok := v.limitOf(org); !ok {
		return nil
	}
	o := &orgLimiter{limiter: l, org: org, homeStates: make(map[ident.DaemonID]*homeState), wake: make(chan struct{}, 1)}
	o.observe(v, v.membersUnchangedSince)
	return l.orgLimiters.loadOrStore(org, o)
}
