package canary

import (
	"cmp"
	"time"

	"github.com/gooseberryway/gooseberryway/internal/state/ident"
	"github.com/gooseberryway/gooseberryway/internal/state/view"
)

// Stage is how far a rollout has come, as the leader decided it.
type Stage struct {
	Service view.ServiceID
	// Order is the offset of the operators' order.
	Order ident.Offset
	// Stated is the offset of the newest record that states the order, as far as the sender knows.
	Stated  ident.Offset
	Release string
	State   view.RolloutState
	// Share is the part of the service's traffic that goes to the release while the rollout is in progress.
	Share  ident.Permille
	Reason string
	// Term is the term of the leader that decided, Sequence the number of its decision.
	Term     ident.Offset
	Sequence uint64
	// OrderedAt is when the first daemon learned of the order, Since when the stage was decided.
	OrderedAt, Since time.Time
}

// isOf reports whether the stage belongs to the order, although the order may be known by the offset at which it was written
// again after a restore of the store.
func (s *Stage) isOf(order *view.Rollout) bool {
	if s.Release != order.Release {
		return false
	}
	return s.Order == order.Offset || s.Stated == order.Stated || s.Order.Era() < order.Offset.Era() && s.Stated.Era() < order.Stated.Era()
}

// supersedes reports whether s replaces old. A final state of an order is never replaced by another state of it.
func (s *Stage) supersedes(old *Stage) bool {
	if old == nil || s.Order != old.Order {
		return old == nil || s.Order > old.Order
	}
	if old.State.Ended() != s.State.Ended() {
		return s.State.Ended()
	}
	return cmp.Or(cmp.Compare(s.Term, old.Term), cmp.Compare(s.Sequence, old.Sequence)) > 0
}
