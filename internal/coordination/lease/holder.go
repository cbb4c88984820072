// Package lease decides whether a daemon may accept work: only while it knows that nothing newer than what it has
// applied can be in force.
package lease

import (
	"sync/atomic"
	"time"

	"github.com/gooseberryway/gooseberryway/internal/coordination/member"
	"github.com/gooseberryway/gooseberryway/internal/coordination/replay"
	"github.com/gooseberryway/gooseberryway/internal/state/config"
)

// Ground is what a lease rests on.
type Ground string

// Grounds of a lease.
const (
	// GroundNone: there is no lease.
	GroundNone Ground = "none"
	// GroundLog: a read of the log's tail was started within member.LeaseTTL.
	GroundLog Ground = "log"
	// GroundWitnesses: enough witnesses answered heartbeats that were sent within member.LeaseTTL.
	GroundWitnesses Ground = "witnesses"
	// GroundRemoved: an operator or another daemon removed this daemon, or a newer incarnation of it is known.
	GroundRemoved Ground = "removed"
)

// ExpiredError says that the daemon holds no serving lease now and that nothing of the request was run.
type ExpiredError struct {
	Status Status
}

func (e *ExpiredError) Error() string { return "no serving lease: " + e.Status.String() }

// Holder holds the serving lease of a daemon. Its fields are set before use, and Renew is to be called after
// every change of the Fleet.
type Holder struct {
	Follower *replay.Follower
	Fleet    *member.Membership

	grant atomic.Pointer[grant]
}

// grant is a lease until a point in time.
type grant struct {
	until  time.Time
	ground Ground
	// witnessed is true if the witnesses support a lease, whatever it rests on.
	witnessed bool
}

// Valid reports whether the lease holds now. It reads the clock on every call, so the lease of a daemon
// that was paused is found to have lapsed. It may be called on the path of every request.
func (h *Holder) Valid() bool {
	g := h.grant.Load()
	return g != nil && g.holds(time.Now())
}

// holds compares both clocks of this VM: the monotonic one may stand still while a VM is suspended.
func (g *grant) holds(now time.Time) bool {
	return now.Before(g.until) && now.Round(0).Before(g.until.Round(0))
}

// Check returns nil while the lease holds, else a *LapsedError.
func (h *Holder) Check() error {
	if h.Valid() {
		return nil
	}
	return &ExpiredError{Status: h.Status()}
}

// NeedsLog reports whether only reads of the log keep or could give the lease, so that they must stay frequent.
func (h *Holder) NeedsLog() bool {
	g := h.grant.Load()
	return g == nil || !g.witnessed
}

// Renew computes the lease anew from what is known now.
func (h *Holder) Renew() {
	view := h.Fleet.View()
	if view == nil {
		return
	}
	g := &grant{ground: GroundRemoved}
	if !isOut(view) {
		g = h.decide(view)
	}
	h.grant.Store(g)
}

// isOut reports whether the daemon has been put out of the fleet.
func isOut(view *member.View) bool {
	return view.Superseded || view.State == config.MemberRemoved || view.State == config.MemberDead
}

func (h *Holder) decide(view *member.View) *grant {
	g := &grant{ground: GroundNone}
	if until, ok := WitnessedUntil(view); ok {
		g.ground, g.until, g.witnessed = GroundWitnesses, until, time.Now().Before(until)
	}
	if read := h.Follower.TailReadStarted(); !read.IsZero() && read.Add(member.LeaseTTL).After(g.until) {
		g.ground, g.until = GroundLog, read.Add(member.LeaseTTL)
	}
	return g
}

// Status returns the status for operators.
func (h *Holder) Status() Status {
	now := time.Now()
	status := Status{Ground: GroundNone, TailReadAge: -1}
	if read := h.Follower.TailReadStarted(); !read.IsZero() {
		status.TailReadAge = now.Sub(read)
	}
	view := h.Fleet.View()
	if view == nil {
		return status
	}
	status.Quorum = member.LeaseQuorum(len(view.Members))
	status.Witnesses = countFresh(view, now)
	status.Recovering = view.Recovering
	status.Applied = view.Applied.Offset()
	if g := h.grant.Load(); g != nil {
		status.Valid = g.holds(now)
		status.Remaining = max(0, g.until.Sub(now))
		status.Ground = g.ground
		if !status.Valid && g.ground != GroundRemoved {
			status.Ground = GroundNone
		}
	}
	return status
}
