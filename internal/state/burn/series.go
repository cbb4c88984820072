package burn

import "time"

// Counts are the events of one window.
type Counts struct {
	Requests, Failed uint64
	// FirstTokens are answers that had a first token, LateFirstTokens those that had it late.
	FirstTokens, LateFirstTokens uint64
	// ITLSamples are answers with a time between tokens, SlowPaced those with a long one.
	ITLSamples, SlowITLSamples uint64
}

func (c *Counts) add(o Counts) {
	c.Requests += o.Requests
	c.Failed += o.Failed
	c.FirstTokens += o.FirstTokens
	c.LateFirstTokens += o.LateFirstTokens
	c.ITLSamples += o.ITLSamples
	c.SlowITLSamples += o.SlowITLSamples
}

// bin is a compact Counts for one bin of time.
type bin struct {
	requests, failed, firstTokens, late, paced, slow uint32
}

func (b *bin) counts() Counts {
	return Counts{
		Requests: uint64(b.requests), Failed: uint64(b.failed),
		FirstTokens: uint64(b.firstTokens), LateFirstTokens: uint64(b.late),
		ITLSamples: uint64(b.paced), SlowITLSamples: uint64(b.slow),
	}
}

func (b *bin) add(o bin) {
	b.requests += o.requests
	b.failed += o.failed
	b.firstTokens += o.firstTokens
	b.late += o.late
	b.paced += o.paced
	b.slow += o.slow
}

// series holds the counts of one route and organisation at all levels. It is guarded by its stripe.
type series struct {
	rings [len(levels)]ring
	last  time.Time
}

// ring is a ring of bins that is made as long as it needs to be: a series that is used for minutes holds few bins.
type ring struct {
	bins []bin
	// newest is the number of the newest bin since the epoch of the clock.
	newest int64
}

func (s *series) add(b bin, now time.Time) {
	s.last = now
	for level := range s.rings {
		s.rings[level].at(level, now).add(b)
	}
}

// at returns the bin of now and drops those that have become too old.
func (r *ring) at(level int, now time.Time) *bin {
	limit := levels[level].bins
	number := now.UnixNano() / int64(levels[level].bin)
	passed := number - r.newest
	if len(r.bins) == 0 || passed >= int64(limit) {
		r.bins = append(r.bins[:0], bin{})
		r.newest = number
		return &r.bins[0]
	}
	for ; r.newest < number; r.newest++ {
		r.push(limit)
	}
	return &r.bins[len(r.bins)-1]
}

// push adds an empty newest bin.
func (r *ring) push(limit int) {
	if len(r.bins) < limit {
		r.bins = append(r.bins, bin{})
		return
	}
	copy(r.bins, r.bins[1:])
	r.bins[limit-1] = bin{}
}

// sum returns the counts of the bins that a window touches.
func (r *ring) sum(level int, length time.Duration, now time.Time) Counts {
	var total Counts
	width := levels[level].bin
	oldest := now.Add(-length).UnixNano()/int64(width) + 1
	for i := range r.bins {
		number := r.newest - int64(len(r.bins)-1-i)
		if number >= oldest {
			total.add(r.bins[i].counts())
		}
	}
	return total
}

func (s *series) windows(now time.Time) [len(windows)]Counts {
	var sums [len(windows)]Counts
	for i, w := range windows {
		sums[i] = s.rings[w.level].sum(w.level, w.length, now)
	}
	return sums
}
