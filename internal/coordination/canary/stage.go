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
	Order   ident.Offset
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
