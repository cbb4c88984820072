package lease

import (
	"slices"
	"time"

	"github.com/gooseberryway/gooseberryway/internal/coordination/member"
)

// WitnessedUntil returns until when the witnesses support a lease at the applied state of the view. Each answer that counts
// names no record that this daemon lacks, so at the time of the answer its witness did not hold any newer one; as
// a newer record comes into force only after removalGrace with a quorum that holds it, no newer record can
// be in force before the time returned.
func WitnessedUntil(view *member.View) (time.Time, bool) {
	needed := member.LeaseQuorum(len(view.Members))
	if countsItself(view) {
		needed--
	}
	if needed == 0 {
		return time.Now().Add(member.LeaseTTL), true
	}
	sent := make([]time.Time, 0, len(view.HeartbeatAcks))
	for _, a := range view.HeartbeatAcks {
		sent = append(sent, a.Sent)
	}
	if len(sent) < needed {
		return time.Time{}, false
	}
	slices.SortFunc(sent, func(a, b time.Time) int { return b.Compare(a) })
	return sent[needed-1].Add(member.LeaseTTL), true
}

// countsItself reports whether the daemon is a witness of itself: it is active and has forgotten nothing.
func countsItself(view *member.View) bool {
	return view.State.Active() && !view.Recovering
}

// countFresh returns the witnesses that answered in time, the daemon itself included.
func countFresh(view *member.View, now time.Time) int {
	n := 0
	if countsItself(view) {
		n++
	}
	for _, a := range view.HeartbeatAcks {
		if now.Sub(a.Sent) < member.LeaseTTL {
			n++
		}
	}
	return n
}
