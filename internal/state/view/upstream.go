package view

import (
	"maps"
	"time"

	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

// UpstreamState is what an upstream says of itself.
type UpstreamState uint8

// States of an upstream.
const (
	UpstreamReady UpstreamState = iota + 1
	// UpstreamDraining finishes its requests and takes no new ones.
	UpstreamDraining
)

// Upstream is one incarnation of a back end, as it has registered itself.
type Upstream struct {
	ID ident.UpstreamID
	// Incarnation tells incarnations of one id apart.
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
	// Offset is the position of the registration in the list.
	Offset ident.Offset
	// SeenAt is when this daemon learned of the registration.
	SeenAt time.Time
}

// SameRegistration reports whether two registrations say the same, whenever they were made.
func (u *Upstream) SameRegistration(o *Upstream) bool {
	return u.ID == o.ID && u.Incarnation == o.Incarnation && u.Service == o.Service && u.Address == o.Address &&
		u.FailureDomain == o.FailureDomain && u.Release == o.Release && u.Slots == o.Slots && u.State == o.State &&
		maps.Equal(u.Weights, o.Weights)
}

// Upstreams is the list of registered upstreams. It is not changed once it is published.
type Upstreams struct {
	Offset    ident.Offset
	ByID      map[ident.UpstreamID]*Upstream
	ByService map[ServiceID][]*Upstream
	// ByTag names upstreams by a hash of their ids, for messages between daemons. Of two with one tag it holds one, whose
	// load is then told too high or too low.
	ByTag map[ident.UpstreamTag]*Upstream
}

// NewUpstreams groups the upstreams by service.
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

// Weights is the version of a model that all engines shall run.
type Weights struct {
	Model   ident.ModelID
	Version int64
	// NamedAt is when this daemon learned of the version.
	NamedAt time.Time
	// NamedAtObserved says that NamedAt was seen, by this daemon or a peer; otherwise it is a guess on the safe side.
	NamedAtObserved bool
	Offset          ident.Offset
	// Earlier are the versions named before, the newest first.
	Earlier []NamedVersion
}

// NamedVersion is a version and when this daemon learned of it.
type NamedVersion struct {
	Version int64
	NamedAt time.Time
}

// ReplacedAt returns when a version was replaced by the next newer one; false if it is the newest.
func (w *Weights) ReplacedAt(version int64) (time.Time, bool) {
	if version >= w.Version {
		return time.Time{}, false
	}
	at := w.NamedAt
	for _, e := range w.Earlier {
		if e.Version <= version {
			break
		}
		at = e.NamedAt
	}
	return at, true
}

// namedEarlier reports whether the version was named at a time that is better known than the present one.
func (w *Weights) namedEarlier(version int64, at time.Time) bool {
	return w.Version == version && (!w.NamedAtObserved || at.Before(w.NamedAt))
}

// Rollout asks for the move of a service's traffic to upstreams of another release.
type Rollout struct {
	Service ServiceID
	Release string
	Within  time.Duration
	Offset  ident.Offset
	SeenAt  time.Time
}
