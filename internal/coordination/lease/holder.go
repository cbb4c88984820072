// Package lease decides whether a daemon may accept requests: only while it knows that no record newer than its
// applied state can be in force. It knows so for a limited time after a read that reached the tail of the log, or after
// enough witnesses have acknowledged its heartbeats.
package lease

import (
	"sync/atomic"
	"time"

	"github.com/gooseberryway/gooseberryway/internal/coordination/member"
	"github.com/gooseberryway/gooseberryway/internal/coordination/replay"
	"github.com/gooseberryway/gooseberryway/internal/state/config"
)

// Ground is the evidence that a lease is based on.
type Ground string

// Grounds of a lease.
const (
	// GroundNone: there is no lease.
	GroundNone Ground = "none"
	// GroundLog: a read that reached the log's tail was started within the last member.LeaseTTL.
	GroundLog Ground = "log"
	// GroundWitnesses: a quorum of witnesses has acknowledged heartbeats that were sent within the last member.LeaseTTL.
	GroundWitnesses Ground = "witnesses"
	// GroundRemoved: there is no lease, as this daemon was removed or declared dead, or a newer incarnation of it is known.
	GroundRemoved Ground = "removed"
)

// ExpiredError means that the daemon holds no serving lease now and that no part of the request was run.
type ExpiredError struct {
	Status Status
}

func (e *ExpiredError) Error() string { return "no serving lease: " + e.Status.String() }

// Holder holds the serving lease of a daemon. Set its fields before use, and call Renew after every change of Fleet.
type Holder struct {
	Follower *replay.Follower
	Fleet    *member.Membership

	grant atomic.Pointer[grant]
}

// grant is a lease that is valid until a point in time.
type grant struct {
	until  time.Time
	ground Ground
	// witnessed is true if the witnesses alone supported a lease when it was computed, whatever its ground.
	witnessed bool
}

// Valid reports whether the daemon holds the lease now. It reads the clock on every call, so that a daemon which was
// paused notices that its lease has expired. It takes no lock, so it can be called for every request.
func (h *Holder) Valid() bool {
	g := h.grant.Load()
	return g != nil && g.validAt(time.Now())
}

// validAt compares both the monotonic and the wall clock: the monotonic clock may stand still while a VM is suspended.
func (g *grant) validAt(now time.Time) bool {
	return now.Before(g.until) && now.Round(0).Before(g.until.Round(0))
}

// Check returns nil while the lease is valid, otherwise an *ExpiredError.
func (h *Holder) Check() error {
	if h.Valid() {
		return nil
	}
	return &ExpiredError{Status: h.Status()}
}

// NeedsLog reports whether the witnesses don't support a lease. Only reads of the log can then give or keep one, so
// they must stay frequent.
func (h *Holder) NeedsLog() bool {
	g := h.grant.Load()
	return g == nil || !g.witnessed
}

// Renew computes the lease from the current view of the fleet and the last read of the log's tail.
func (h *Holder) Renew() {
	view := h.Fleet.View()
	if view == nil {
		return
	}
	g := &grant{ground: GroundRemoved}
	if !isRemoved(view) {
		g = h.computeGrant(view)
	}
	h.grant.Store(g)
}

// isRemoved reports whether the daemon no longer belongs to the fleet.
func isRemoved(view *member.View) bool {
	return view.Superseded || view.State == config.MemberRemoved || view.State == config.MemberDead
}

// computeGrant returns the lease on the ground that makes it last longest.
func (h *Holder) computeGrant(view *member.View) *grant {
	g := &grant{ground: GroundNone}
	if until, ok := WitnessedUntil(view); ok {
		g.ground, g.until, g.witnessed = GroundWitnesses, until, time.Now().Before(until)
	}
	if readStarted := h.Follower.TailReadStarted(); !readStarted.IsZero() && readStarted.Add(member.LeaseTTL).After(g.until) {
		g.ground, g.until = GroundLog, readStarted.Add(member.LeaseTTL)
	}
	return g
}

// Status returns the state of the lease for the operators.
func (h *Holder) Status() Status {
	now := time.Now()
	status := Status{Ground: GroundNone, TailReadAge: -1}
	if readStarted := h.Follower.TailReadStarted(); !readStarted.IsZero() {
		status.TailReadAge = now.Sub(readStarted)
	}
	view := h.Fleet.View()
	if view == nil {
		return status
	}
	status.Quorum = member.LeaseQuorum(len(view.Members))
	status.Witnesses = countRecentWitnesses(view, now)
	status.Recovering = view.Recovering
	status.Applied = view.Applied.Offset()
	if g := h.grant.Load(); g != nil {
		status.Valid = g.validAt(now)
		status.Remaining = max(0, g.until.Sub(now))
		status.Ground = g.ground
		if !status.Valid && g.ground != GroundRemoved {
			status.Ground = GroundNone
		}
	}
	return status
}
