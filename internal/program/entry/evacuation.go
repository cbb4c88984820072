package entry

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"k8s.io/klog/v2"

	"github.com/gooseberryway/gooseberryway/internal/state/extern"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
	"github.com/gooseberryway/gooseberryway/internal/state/view"
)

// evacuationTimeDivisor is the part of the time until an evacuation binds in which prompts move to other upstreams. The rest is left for
// learning of the evacuation and for requests on their way.
const evacuationTimeDivisor = 2

// evacuationTime returns the time in which prompts leave an evacuated failure domain, by the limit on that.
func evacuationTime(limitMs int64) time.Duration {
	return time.Duration(limitMs) * time.Millisecond / evacuationTimeDivisor
}

// evacuationStatus tells operators of an evacuation.
type evacuationStatus struct {
	FailureDomain string `json:"failureDomain"`
	// AgeMs is how long the evacuation has lasted, as far as this daemon knows; 0 if it may have begun before the daemon.
	AgeMs int64 `json:"ageMs"`
	// Upstreams is the number of upstreams there, Running that of the requests of all daemons that still run at them.
	Upstreams int `json:"upstreams"`
	Running   int `json:"running"`
}

// evacuations returns the evacuations in force, in order.
func (d *Daemon) evacuations() []evacuationStatus {
	all := d.snapshots.Evacuations()
	now := time.Now()
	var out []evacuationStatus
	for _, domain := range slices.Sorted(maps.Keys(all)) {
		e := all[domain]
		if e.Ended {
			continue
		}
		age, _ := e.Age(now)
		s := evacuationStatus{FailureDomain: string(domain), AgeMs: age.Milliseconds()}
		s.Upstreams, s.Running = d.workIn(domain)
		out = append(out, s)
	}
	return out
}

// workIn returns the number of upstreams in a failure domain, and of the requests that run there.
func (d *Daemon) workIn(domain ident.FailureDomain) (upstreams, running int) {
	for id, u := range d.snapshots.Upstreams().ByID {
		if u.FailureDomain == domain {
			upstreams++
			running += d.placer.WorkAt(id).Requests
		}
	}
	return upstreams, running
}

// evacuationLog remembers what was last logged of the evacuations. Only maintain uses it.
type evacuationLog struct {
	running map[ident.FailureDomain]int
}

// reportEvacuations logs when evacuations begin, when nothing runs there any more and when they end, and sets their metrics.
func (d *Daemon) reportEvacuations() {
	all := d.snapshots.Evacuations()
	if len(all) == 0 {
		return
	}
	for domain := range all {
		e := all[domain]
		d.reportEvacuation(&e)
	}
}

func (d *Daemon) reportEvacuation(e *view.Evacuation) {
	l := &d.evacuationLog
	last, logged := l.running[e.FailureDomain]
	upstreams, running := d.workIn(e.FailureDomain)
	age, _ := e.Age(time.Now())
	details := []any{
		"failureDomain", e.FailureDomain, "running", running, "upstreams", upstreams, "ageMs", age.Milliseconds(), "offset", e.Offset,
	}
	switch {
	case e.Ended && logged:
		klog.InfoS("Failure domain is used again", details...)
		delete(l.running, e.FailureDomain)
	case e.Ended:
		return
	case !logged:
		klog.InfoS("Failure domain is evacuated", details...)
	case last > 0 && running == 0:
		klog.InfoS("Nothing runs in evacuated failure domain", details...)
	}
	if upstreams > 0 || last > 0 {
		// Names of failure domains without upstreams would be metrics without bound.
		metrics.GetOrCreateGauge(fmt.Sprintf(`gooseberrywayEvacuatedRequests{failureDomain=%q}`, e.FailureDomain), nil).Set(float64(running))
	}
	if e.Ended {
		return
	}
	if l.running == nil {
		l.running = map[ident.FailureDomain]int{}
	}
	l.running[e.FailureDomain] = running
}

// evacuationOffset returns the offset up to which a peer must have read the operators' topic to know the evacuations in force.
func (d *Daemon) evacuationOffset() ident.Offset {
	var offset ident.Offset
	for _, e := range d.snapshots.Evacuations() {
		if !e.Ended {
			offset = max(offset, e.Offset+1)
		}
	}
	return offset
}

// startedOnCopy reports whether this daemon may have read the store only after it had returned from an older copy, and has not heard yet
// from a peer what that lacks.
func (d *Daemon) startedOnCopy() bool {
	return !d.askedPeer && d.follower.NextOffset(extern.TopicOperators).Era() > 0
}
