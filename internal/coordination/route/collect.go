package route

import (
	"math/rand/v2"
	"sort"
	"time"

	"github.com/gooseberryway/gooseberryway/internal/state/health"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

// fitness ranks engines by how well they could take a request; only the best rank that has any is weighed.
type fitness int

const (
	unfit fitness = iota
	// ejectedButServing: ejected for failures; better than no engine at all.
	ejectedButServing
	// unreported: no load report has told yet which versions the engine has.
	unreported
	// fit: serves the version.
	fit
)

func fitnessOf(u *health.Upstream, version ident.VersionID, now time.Time) fitness {
	if _, leaving := u.Leaving(now); leaving {
		return unfit
	}
	serves, known := u.Serves(version)
	switch {
	case known && !serves:
		return unfit
	case u.Ejected(now):
		return ejectedButServing
	case !known:
		return unreported
	default:
		return fit
	}
}

// collect fills the scratch with the engines to weigh. It returns a refusal when there is none.
func (r *Router) collect(s *scratch, engines []*health.Upstream, req *Request, now time.Time) Refusal {
	s.reset()
	if len(engines) > FullScanLimit {
		r.sample(s, engines, req, now)
	}
	if s.best < fit {
		s.reset()
		own := r.part.Load()
		for i, u := range engines {
			if r.weigh(s, u, req, now) {
				s.candidates[len(s.candidates)-1].own = own.owns(i, len(engines))
			}
		}
	}
	if len(s.candidates) == 0 {
		return s.refusal
	}
	r.attach(s)
	s.waiting = 0
	for i := range s.candidates {
		s.waiting += float64(s.candidates[i].load.Waiting) / float64(len(s.candidates))
	}
	return ""
}

func (s *scratch) reset() {
	s.candidates = s.candidates[:0]
	s.best, s.refusal = unfit, RefusedNotLoaded
}

// weigh adds an engine to the candidates if none of them is fitter, and reports whether it did.
func (r *Router) weigh(s *scratch, u *health.Upstream, req *Request, now time.Time) bool {
	f := fitnessOf(u, req.Scope.Version, now)
	if f == unfit || f < s.best {
		return false
	}
	if tried(req, u.ID) {
		s.refusal = RefusedTried
		return false
	}
	if f > s.best {
		s.best = f
		s.candidates = s.candidates[:0]
	}
	s.candidates = append(s.candidates, candidate{
		upstream:    u,
		incarnation: u.Incarnation(),
		load:        u.Load(now),
	})
	return true
}

func (s *scratch) has(u *health.Upstream) bool {
	for i := range s.candidates {
		if s.candidates[i].upstream == u {
			return true
		}
	}
	return false
}

// attach gives the candidates the blocks that they hold. What an older incarnation held counts for nothing.
func (r *Router) attach(s *scratch) {
	for _, m := range s.matches {
		u := r.Health.Upstream(m.Engine)
		for i := range s.candidates {
			c := &s.candidates[i]
			if c.upstream != u {
				continue
			}
			if c.incarnation == m.Incarnation {
				c.blocks = m.Blocks
			}
			break
		}
	}
}

// sample weighs the holders of the prompt, the engines on which the hash places it and some others, so that the
// work does not grow with the number of engines.
func (r *Router) sample(s *scratch, engines []*health.Upstream, req *Request, now time.Time) {
	held := 0
	for _, m := range s.matches {
		held = max(held, m.Blocks)
		if u := r.Health.Upstream(m.Engine); u != nil && u.Config().Model == req.Scope.Model {
			r.weigh(s, u, req, now)
		}
	}
	key, ok := placementKey(req.Chain, held)
	if !ok {
		key = ident.BlockHash(rand.Uint64())
	}
	at := sort.Search(len(engines), func(i int) bool { return engines[i].Hash >= uint64(key) })
	for i := range placedCandidates {
		if u := engines[(at+i)%len(engines)]; !s.has(u) {
			r.weigh(s, u, req, now)
		}
	}
	for range randomCandidates {
		u := engines[r.random(len(engines))]
		if !s.has(u) && r.weigh(s, u, req, now) {
			s.candidates[len(s.candidates)-1].chance = true
		}
	}
}
