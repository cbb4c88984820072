package route

import (
	"math/rand/v2"
	"sort"
	"time"

	"github.com/gooseberryway/gooseberryway/internal/state/health"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

// eligibility ranks engines by how suitable they are for a request. Only the engines of the highest rank that occurs
// become candidates.
type eligibility int

const (
	ineligible eligibility = iota
	// eligibleEjected is an engine ejected for failures, used only if there is no other.
	eligibleEjected
	// eligibleUnreported is an engine whose loaded versions are unknown because no load report has arrived yet.
	eligibleUnreported
	// eligible is an engine that is known to have loaded the version.
	eligible
)

func eligibilityOf(u *health.Upstream, version ident.VersionID, now time.Time) eligibility {
	if _, leaving := u.LeavingFor(now); leaving {
		return ineligible
	}
	serves, known := u.Serves(version)
	switch {
	case known && !serves:
		return ineligible
	case u.Ejected(now):
		return eligibleEjected
	case !known:
		return eligibleUnreported
	default:
		return eligible
	}
}

// collectCandidates fills the scratch with the candidates for a request. It returns the refusal if there are none, else "".
// Of more than FullScanLimit engines it samples some first, and scans all only if no sampled one is known to have
// loaded the version.
func (r *Router) collectCandidates(s *scratch, engines []*health.Upstream, req *Request, now time.Time) Refusal {
	s.reset()
	if len(engines) > FullScanLimit {
		r.sampleEngines(s, engines, req, now)
	}
	if s.bestEligibility < eligible {
		s.reset()
		subset := r.subset.Load()
		for i, u := range engines {
			if r.addCandidate(s, u, req, now) {
				s.candidates[len(s.candidates)-1].inSubset = subset.contains(i, len(engines))
			}
		}
	}
	if len(s.candidates) == 0 {
		return s.refusal
	}
	r.setCachedBlocks(s)
	s.meanWaiting = 0
	for i := range s.candidates {
		s.meanWaiting += float64(s.candidates[i].load.Waiting) / float64(len(s.candidates))
	}
	return ""
}

func (s *scratch) reset() {
	s.candidates = s.candidates[:0]
	s.bestEligibility, s.refusal = ineligible, RefusedNotLoaded
}

// addCandidate adds an engine to the candidates unless it is ineligible, was tried before or ranks below the present
// candidates; it replaces those if it ranks above them. It reports whether the engine was added.
func (r *Router) addCandidate(s *scratch, u *health.Upstream, req *Request, now time.Time) bool {
	rank := eligibilityOf(u, req.Scope.Version, now)
	if rank == ineligible || rank < s.bestEligibility {
		return false
	}
	if wasTried(req, u.ID) {
		s.refusal = RefusedTried
		return false
	}
	if rank > s.bestEligibility {
		s.bestEligibility = rank
		s.candidates = s.candidates[:0]
	}
	s.candidates = append(s.candidates, candidate{
		upstream:    u,
		incarnation: u.Incarnation(),
		load:        u.Load(now),
	})
	return true
}

func (s *scratch) hasCandidate(u *health.Upstream) bool {
	for i := range s.candidates {
		if s.candidates[i].upstream == u {
			return true
		}
	}
	return false
}

// setCachedBlocks sets the number of prompt blocks cached at each candidate. Matches of another incarnation of the
// engine are ignored, because a restart empties its cache.
func (r *Router) setCachedBlocks(s *scratch) {
	for _, m := range s.matches {
		u := r.Health.Upstream(m.Engine)
		for i := range s.candidates {
			c := &s.candidates[i]
			if c.upstream != u {
				continue
			}
			if c.incarnation == m.Incarnation {
				c.cachedBlocks = m.Blocks
			}
			break
		}
	}
}

// sampleEngines makes candidates of the engines that cache a prefix of the prompt, of those that the hash of the prompt
// selects and of a few random ones, so that the cost of a decision does not grow with the number of engines.
func (r *Router) sampleEngines(s *scratch, engines []*health.Upstream, req *Request, now time.Time) {
	cachedBlocks := 0
	for _, m := range s.matches {
		cachedBlocks = max(cachedBlocks, m.Blocks)
		if u := r.Health.Upstream(m.Engine); u != nil && u.Config().Model == req.Scope.Model {
			r.addCandidate(s, u, req, now)
		}
	}
	key, ok := placementKey(req.Chain, cachedBlocks)
	if !ok {
		key = ident.BlockHash(rand.Uint64())
	}
	start := sort.Search(len(engines), func(i int) bool { return engines[i].Hash >= uint64(key) })
	for i := range hashedCandidates {
		if u := engines[(start+i)%len(engines)]; !s.hasCandidate(u) {
			r.addCandidate(s, u, req, now)
		}
	}
	for range randomCandidates {
		u := engines[r.randomInt(len(engines))]
		if !s.hasCandidate(u) && r.addCandidate(s, u, req, now) {
			s.candidates[len(s.candidates)-1].randomlyDrawn = true
		}
	}
}
