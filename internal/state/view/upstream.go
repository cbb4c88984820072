package view

import (
	"maps"
	"slices"
	"time"

	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

// UpstreamState is the state in which an upstream has registered itself.
type UpstreamState uint8

// Upstream states.
const (
	UpstreamReady UpstreamState = iota + 1
	// UpstreamDraining finishes its running requests and accepts no new ones.
	UpstreamDraining
)

// Upstream is the registration of one incarnation of an upstream. It must not be changed once it is published.
type Upstream struct {
	ID ident.UpstreamID
	// Incarnation distinguishes restarts of an upstream with the same id.
	Incarnation   ident.Incarnation
	Service       ServiceID
	Address       string
	FailureDomain ident.FailureDomain
	// Release is the version of the upstream's software.
	Release string
	Slots   int
	State   UpstreamState
	// Weights are the versions of the models that the upstream has loaded.
	Weights map[ident.ModelID]int64
	// ColdFor is how much longer the upstream expected to be cold when it wrote the registration; 0 if it was not.
	ColdFor time.Duration
	// Sequence numbers the registrations of this incarnation; 0 if the upstream doesn't number them.
	Sequence int64
	// Offset is the position of the registration in the topic.
	Offset ident.Offset
	// SeenAt is when this daemon received the registration.
	SeenAt time.Time
}

// SameRegistration reports whether two registrations are equal but for their offset and time.
func (u *Upstream) SameRegistration(o *Upstream) bool {
	return u.ID == o.ID && u.Incarnation == o.Incarnation && u.Service == o.Service && u.Address == o.Address &&
		u.FailureDomain == o.FailureDomain && u.Release == o.Release && u.Slots == o.Slots && u.State == o.State &&
		maps.Equal(u.Weights, o.Weights)
}

// Upstreams is the list of registered upstreams. It must not be changed once it is published.
type Upstreams struct {
	Offset    ident.Offset
	ByID      map[ident.UpstreamID]*Upstream
	ByService map[ServiceID][]*Upstream
	// ByTag maps the hashes of ids that messages between daemons carry. If two upstreams have the same tag it holds one of
	// them, and the load that peers report for it is too high or too low.
	ByTag map[ident.UpstreamTag]*Upstream
}

// NewUpstreams returns a list of the upstreams, indexed by id, service and tag. The offset is the topic's.
func NewUpstreams(byID map[ident.UpstreamID]*Upstream, offset ident.Offset) *Upstreams {
	u := &Upstreams{
		Offset: offset, ByID: byID, ByService: map[ServiceID][]*Upstream{},
		ByTag: make(map[ident.UpstreamTag]*Upstream, len(byID)),
	}
	for _, up := range byID {
		u.ByTag[up.ID.Tag()] = up
		u.ByService[up.Service] = append(u.ByService[up.Service], up)
	}
	return u
}

// Weights is the version of a model that operators have named for all engines.
type Weights struct {
	Model   ident.ModelID
	Version int64
	// NamedAt is the earliest time at which this daemon or a peer learned of the version.
	NamedAt time.Time
	// NamedAtObserved says that this daemon or a peer observed the naming; otherwise NamedAt is a conservative estimate.
	NamedAtObserved bool
	Offset          ident.Offset
	// Previous are the versions named before, newest first.
	Previous []NamedVersion
}

// Age returns the time since the version was named, as far as this daemon knows; 0 if none was.
func (w *Weights) Age() time.Duration {
	if w.NamedAt.IsZero() {
		return 0
	}
	return time.Since(w.NamedAt)
}

// NamedVersion is a version and the time at which it was named.
type NamedVersion struct {
	Version int64
	NamedAt time.Time
}

// ReplacedAt returns when the next newer version was named; false if the version is the newest or newer. The time is zero if versions that
// aren't kept may have come in between, as for a daemon that has started since: these were named earlier than all that are kept.
func (w *Weights) ReplacedAt(version int64) (time.Time, bool) {
	if version >= w.Version {
		return time.Time{}, false
	}
	next := NamedVersion{w.Version, w.NamedAt}
	for _, e := range w.Previous {
		if e.Version <= version {
			return next.NamedAt, true
		}
		next = e
	}
	if next.Version > version+1 {
		return time.Time{}, true
	}
	return next.NamedAt, true
}

// shouldReplaceNamedAt reports whether the time at which a peer observed the naming of a version replaces NamedAt: w must
// have that version, and NamedAt must be an estimate or a later time.
func (w *Weights) shouldReplaceNamedAt(version int64, at time.Time) bool {
	return w.Version == version && (!w.NamedAtObserved || at.Before(w.NamedAt))
}

// Rollout is an operator's request to shift a service's traffic to upstreams of another release within a duration.
type Rollout struct {
	Service ServiceID
	Release string
	Within  time.Duration
	// Offset identifies the order: it is that of the record in which the order was first seen.
	Offset ident.Offset
	// Stated is the offset of the newest record that states the order. It is above Offset if the store has returned from an
	// older copy and the order was written again.
	Stated ident.Offset
	// RestatedAt is when the order was first seen written again; zero if it was not.
	RestatedAt, SeenAt time.Time
	// Previous are the orders for the service before this one, newest first.
	Previous []PreviousOrder
}

// PreviousOrder is an order that another one has replaced.
type PreviousOrder struct {
	Release string
	Offset  ident.Offset
}

// restateWindow is how long after the first record of a later era another one with the same order still states the same: the
// copy may have had the order, and it is written again.
const restateWindow = 5 * time.Second

// restates reports whether r is the known order written again after a restore of the store.
func (r *Rollout) restates(known *Rollout) bool {
	if r.Release != known.Release || r.Within != known.Within {
		return false
	}
	return r.Offset.Era() > known.Stated.Era() || !known.RestatedAt.IsZero() && time.Since(known.RestatedAt) < restateWindow
}

// isPrevious reports whether r, of a later era, is an order that the known one had replaced: the restored copy is older than
// the known order, and has the replaced one at its old number.
func (r *Rollout) isPrevious(known *Rollout) bool {
	return slices.ContainsFunc(known.Previous, func(p PreviousOrder) bool {
		return p.Release == r.Release && p.Offset.Number() == r.Offset.Number()
	})
}

// RolloutState is the state of a rollout that operators see.
type RolloutState uint8

// States of rollouts.
const (
	RolloutInProgress RolloutState = iota + 1
	// RolloutCompleted: the platform stops the upstreams of other releases at once.
	RolloutCompleted
	// RolloutRolledBack: the platform drains the upstreams of the release.
	RolloutRolledBack
)

// Ended reports whether the state is final.
func (s RolloutState) Ended() bool { return s == RolloutCompleted || s == RolloutRolledBack }

// String returns the name of the state for logs and operators.
func (s RolloutState) String() string {
	switch s {
	case RolloutInProgress:
		return "inProgress"
	case RolloutCompleted:
		return "completed"
	case RolloutRolledBack:
		return "rolledBack"
	default:
		return "unknown"
	}
}

// RolloutStatus is what operators are told of a rollout.
type RolloutStatus struct {
	Service ServiceID
	Release string
	State   RolloutState
}
