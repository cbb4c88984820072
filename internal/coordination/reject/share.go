package reject

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"k8s.io/klog/v2"

	"github.com/gooseberryway/gooseberryway/internal/state/rhash"
	"github.com/gooseberryway/gooseberryway/internal/state/view"
)

// share is this daemon's part of an upstream's slots and of the rejections that it bears.
type share struct {
	// places is the number of requests that this daemon may have at the upstream whatever the others do, risks the
	// number of unanswered ones beyond that while slots are free.
	places, risks int
	// rank is this daemon's place in the rendezvous hash order of the upstream.
	rank int
}

func (s share) held() bool { return s.places > 0 || s.risks > 0 }

// backoff follows what an upstream has rejected of this daemon's requests.
type backoff struct {
	// room is the number of requests that the upstream had of this daemon after the last rejection, at roomAt; it grows
	// from there.
	room   int
	roomAt time.Time
	// pause is the time in which room grows by one.
	pause time.Duration
	// rejectedAt are the times of the rejections in the last pause.
	rejectedAt []time.Time
}

// Load is the work at an upstream, in requests.
type Load struct {
	// Own is the number of this daemon's requests, Unanswered the number of those that were sent beyond its places and
	// have no response yet. Total is the number of all daemons' requests, as far as known.
	Own, Unanswered, Total int
}

// Admission says whether a request may be sent to an upstream.
type Admission struct {
	// Limited says that a rejection limit is in force.
	Limited bool
	// Wait is the time after which to ask again; 0 if the request may be sent now.
	Wait time.Duration
	// Risky says that the request is beyond this daemon's places.
	Risky bool
}

// InForce reports whether any limit is in force.
func (t *Table) InForce() bool { return t.inForce.Load() > 0 }

// Admit says whether this daemon may send another request to the upstream with this load.
func (t *Table) Admit(u *view.Upstream, load Load) Admission {
	if !t.InForce() {
		return Admission{}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	l := t.current(u)
	if l == nil {
		l = t.presume(u)
	}
	if l == nil || l.lifted {
		return Admission{}
	}
	now, b := time.Now(), &l.backoff
	if wait := b.wait(now, rejectionWindow, max(1, l.share.risks)); wait > 0 {
		return Admission{Limited: true, Wait: wait}
	}
	room, growsAt := b.roomAfter(now)
	switch {
	case room <= 0:
		return Admission{Limited: true, Wait: max(retryPeriod, growsAt.Sub(now))}
	case load.Own >= room:
		return Admission{Limited: true, Wait: retryPeriod}
	case load.Own < l.share.places:
		return Admission{Limited: true}
	case load.Unanswered < l.share.risks && load.Total < l.slots && b.wait(now, b.pause, l.share.risks) == 0:
		return Admission{Limited: true, Risky: true}
	default:
		return Admission{Limited: true, Wait: retryPeriod}
	}
}

// Reject records that the upstream rejected a request of this daemon for want of room, and has own requests of it left.
func (t *Table) Reject(u *view.Upstream, own int) {
	if !t.InForce() {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	l := t.current(u)
	if l == nil || l.lifted {
		return
	}
	now, b := time.Now(), &l.backoff
	before, _ := b.roomAfter(now)
	b.room, b.roomAt, b.pause = min(before, own), now, t.pause(l)
	b.rejectedAt = slices.DeleteFunc(b.rejectedAt, func(at time.Time) bool { return now.Sub(at) >= b.pause })
	b.rejectedAt = append(b.rejectedAt, now)
	countRejection()
	klog.InfoS("Upstream that falls over rejected a request", "upstream", u.ID, "limit", l.perSecond, "requests", own,
		"places", l.share.places, "risks", l.share.risks, "recent", len(b.rejectedAt))
}

// wait returns the time until fewer than most requests have been rejected within a window.
func (b *backoff) wait(now time.Time, window time.Duration, most int) time.Duration {
	if n := len(b.rejectedAt); most > 0 && n >= most {
		return max(0, window-now.Sub(b.rejectedAt[n-most]))
	}
	return 0
}

// roomAfter returns how many requests the upstream is assumed to take from this daemon, and when it takes one more.
func (b *backoff) roomAfter(now time.Time) (room int, growsAt time.Time) {
	if b.roomAt.IsZero() {
		return math.MaxInt, time.Time{}
	}
	grown := now.Sub(b.roomAt) / b.pause
	return b.room + int(grown), b.roomAt.Add((grown + 1) * b.pause)
}

// pause returns the time in which each holder of places may have one request rejected, so that all together keep to the
// planned rate. Daemons that were rejected at the same time get different ones. The caller holds t.mu.
func (t *Table) pause(l *limit) time.Duration {
	holders := max(1, min(t.peakMembers, l.slots))
	pause := time.Duration(float64(holders) / max(l.perSecond*riskShare, minRisk) * float64(time.Second))
	pause = min(max(rejectionWindow, pause), maxPause)
	if t.jitter == nil {
		t.jitter = rand.New(rand.NewPCG(xxhash.Sum64String(string(t.Self)), 0))
	}
	return pause + time.Duration(t.jitter.Int64N(int64(pause)))
}

// updateShare sets this daemon's share. The caller holds t.mu.
func (t *Table) updateShare(l *limit) {
	old := l.share
	l.share = share{}
	if rank := slices.Index(rhash.Pick(string(l.upstream), t.members, len(t.members)), t.Self); rank >= 0 {
		l.share.rank = rank
		l.share.places = part(l.slots, rank, t.peakMembers)
		l.share.risks = part(int(min(l.perSecond*riskShare, float64(l.slots))), rank, t.peakMembers)
	}
	if l.share.places != old.places || l.share.risks != old.risks {
		klog.InfoS("Share of an upstream that falls over", "upstream", l.upstream, "limit", l.perSecond, "slots", l.slots,
			"places", l.share.places, "risks", l.share.risks, "members", t.peakMembers)
	}
}

// part returns the part of a whole number that the member at rank gets of n members.
func part(whole, rank, n int) int {
	p := whole / n
	if rank < whole%n {
		p++
	}
	return p
}

// slots returns the requests that an upstream runs at the same time, at least one.
func slots(u *view.Upstream) int { return max(1, u.Slots) }
