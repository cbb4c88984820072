package poison

import (
	"testing"
	"time"

	"github.com/gooseberryway/gooseberryway/internal/state/view"
)

// fullDetector returns a detector with as many suspects and quarantines as it keeps.
func fullDetector() *Detector {
	d := &Detector{}
	now := time.Now()
	for i := range maxSuspects {
		for n := range 3 {
			d.Apply(News{Incidents: []Incident{{
				Subject: Hash(i), Upstream: UpstreamKey{1, uint32(i % 97)}, Request: RequestHash(3*i + n),
				At: now.Add(-time.Duration(n) * time.Minute),
			}}})
		}
	}
	for i := range maxQuarantines {
		d.Apply(News{Quarantines: []Quarantine{{Subjects: Set{Hash(1<<32 + i)}, Strikes: 1, Since: now}}})
	}
	return d
}

// BenchmarkAttempt is what a request of three parts costs on its way, from the check to a complete answer.
func BenchmarkAttempt(b *testing.B) {
	d := fullDetector()
	u := &view.Upstream{ID: "e", Incarnation: 1, State: view.UpstreamReady}
	r := requestOf(1, 1<<40, 1<<40+1, 1<<40+2)
	for b.Loop() {
		if d.Check(r) != nil {
			b.Fatal("refused")
		}
		a, err := d.Begin(u, r)
		if err != nil {
			b.Fatal(err)
		}
		a.MarkFirstEvent()
		a.End(OutcomeAnswered)
	}
}

// BenchmarkTick is the work done ten times a second, with all suspects that are kept.
func BenchmarkTick(b *testing.B) {
	d := fullDetector()
	for b.Loop() {
		d.Tick()
	}
}
