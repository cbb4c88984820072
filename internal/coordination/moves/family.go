package moves

import "sync/atomic"

// familySketch estimates which families of prefixes make up a large part of the requests. Collisions of the hash
// only make a light family look heavy.
type familySketch struct {
	counts [familySlots]atomic.Uint32
	total  atomic.Uint32
}

// heavy counts a request of the family and reports whether the family is a large part of the recent requests.
func (f *familySketch) heavy(family uint64) bool {
	n := f.counts[mix(family)%familySlots].Add(1)
	total := f.total.Add(1)
	if total == familyDecayRequests {
		f.halve()
	}
	return uint64(n)*wholePermille > uint64(max(total, familySlots))*heavyFamilyPermille
}

func (f *familySketch) halve() {
	for i := range f.counts {
		f.counts[i].Store(f.counts[i].Load() / 2)
	}
	f.total.Store(familyDecayRequests / 2)
}
