package lease

import (
	"slices"
	"time"

	"github.com/gooseberryway/gooseberryway/internal/coordination/member"
)

// WitnessedUntil returns the time until which the witnesses support a lease for the applied state of the view, and false
// if too few witnesses have acknowledged a heartbeat. The time may have passed already.
//
// Each acknowledgement in the view names no record that this daemon lacks, so its witness held no newer record when it
// answered. A newer record comes into force only once a quorum holds it and inForceDelay of package member has passed
// since, so no newer record can be in force before the returned time.
func WitnessedUntil(view *member.View) (time.Time, bool) {
	needed := member.LeaseQuorum(len(view.Members))
	if isOwnWitness(view) {
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

// isOwnWitness reports whether the daemon counts as a witness of itself: it is an active member and is not recovering,
// so it still knows every record that it has acknowledged.
func isOwnWitness(view *member.View) bool {
	return view.State.Active() && !view.Recovering
}

// countRecentWitnesses returns the number of witnesses that have acknowledged a heartbeat sent within member.LeaseTTL,
// the daemon itself included.
func countRecentWitnesses(view *member.View, now time.Time) int {
	n := 0
	if isOwnWitness(view) {
		n++
	}
	for _, a := range view.HeartbeatAcks {
		if now.Sub(a.Sent) < member.LeaseTTL {
			n++
		}
	}
	return n
}
