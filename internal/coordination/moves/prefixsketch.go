package moves

import "sync/atomic"

// prefixSketch estimates which prefixes make up a large part of the requests. A hash collision can only make a light
// prefix look heavy.
type prefixSketch struct {
	counts [prefixSketchCounters]atomic.Uint32
	total  atomic.Uint32
}

// addAndCheckHeavy counts a request with the prefix and reports whether the prefix makes up a large part of the
// recent requests.
func (p *prefixSketch) addAndCheckHeavy(prefix uint64) bool {
	n := p.counts[mix(prefix)%prefixSketchCounters].Add(1)
	total := p.total.Add(1)
	if total == prefixSketchDecayRequests {
		p.halve()
	}
	return uint64(n)*fullSharePermille > uint64(max(total, prefixSketchCounters))*heavyPrefixPermille
}

func (p *prefixSketch) halve() {
	for i := range p.counts {
		p.counts[i].Store(p.counts[i].Load() / 2)
	}
	p.total.Store(prefixSketchDecayRequests / 2)
}
