package place

import (
	"time"

	"github.com/gooseberryway/gooseberryway/internal/coordination/estim"
	"github.com/gooseberryway/gooseberryway/internal/state/view"
)

// service is what was learned of the upstreams of one service.
type service struct {
	// reading tells how fast engines read prompts, holding how long a request holds its place, and churn how many tokens
	// this daemon's requests bring anew into the caches.
	reading estim.PrefillTime
	holding estim.ServiceTime
	churn   estim.FillRate
	// fetchWait is how much longer than estimated without it requests with a fetch from the KV cache store took, in
	// nanoseconds.
	fetchWait estim.DecayingMean
	// keep is how long an engine is taken to keep a chain that it was sent; keepAt is when that was worked out.
	keep   time.Duration
	keepAt time.Time
}

// service returns what was learned of a service.
func (p *Placer) service(id view.ServiceID) *service {
	if p.services == nil {
		p.services = map[view.ServiceID]*service{}
	}
	s := p.services[id]
	if s == nil {
		s = &service{keep: recentFor, fetchWait: estim.DecayingMean{HalfLife: linkHalfLife, Weight: linkWeight}}
		p.services[id] = s
	}
	return s
}

// refreshKeep works out how long engines keep what they were sent: the least recently used tokens yield, so that it is the
// time in which an engine gets as many new ones as its memory holds.
func (p *Placer) refreshKeep(s *service, engine *view.Engine, id view.ServiceID, now time.Time) {
	if now.Sub(s.keepAt) < keepPeriod {
		return
	}
	s.keepAt = now
	engines := len(p.Snapshots.Upstreams().ByService[id])
	rate, known := s.churn.PerSecond()
	if engine.CacheTokens <= 0 || engines == 0 || !known || rate <= 0 {
		s.keep = recentFor
		return
	}
	daemons := 1
	if p.FleetSize != nil {
		daemons = max(1, p.FleetSize())
	}
	// Callers pick daemons at random, so that the others bring as much.
	perEngine := rate * float64(daemons) / float64(engines)
	keep := time.Duration(keptShare * float64(engine.CacheTokens) / perEngine * float64(time.Second))
	s.keep = min(max(keep, keepLeast), keepMost)
}
