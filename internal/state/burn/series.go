package burn

import "time"

// Counts holds the numbers of events in one window.
type Counts struct {
	Requests, Failed uint64
	// FirstTokens counts the answers with a first token, LateFirstTokens those whose TTFT was above the threshold.
	FirstTokens, LateFirstTokens uint64
	// ITLSamples counts the answers with an inter-token latency, SlowITLSamples those where it was above the threshold.
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

// bin is a compact form of Counts for one bin of time.
type bin struct {
	requests, failed, firstTokens, lateFirstTokens, itlSamples, slowITLSamples uint32
}

func (b *bin) counts() Counts {
	return Counts{
		Requests: uint64(b.requests), Failed: uint64(b.failed),
		FirstTokens: uint64(b.firstTokens), LateFirstTokens: uint64(b.lateFirstTokens),
		ITLSamples: uint64(b.itlSamples), SlowITLSamples: uint64(b.slowITLSamples),
	}
}

func (b *bin) add(o bin) {
	b.requests += o.requests
	b.failed += o.failed
	b.firstTokens += o.firstTokens
	b.lateFirstTokens += o.lateFirstTokens
	b.itlSamples += o.itlSamples
	b.slowITLSamples += o.slowITLSamples
}

// series holds the counts of one route and organisation at all levels. It is protected by the mutex of its stripe.
type series struct {
	rings     [len(levels)]ring
	lastEvent time.Time
}

// ring holds the latest bins of one level, oldest first. It grows on demand up to the level's number of bins, so that a
// series that is used for minutes only takes little memory.
type ring struct {
	bins []bin
	// newestBin is the number of the last bin, counted in bin lengths since the Unix epoch.
	newestBin int64
}

func (s *series) add(b bin, now time.Time) {
	s.lastEvent = now
	for level := range s.rings {
		s.rings[level].binAt(level, now).add(b)
	}
}

// binAt returns the bin for the time now and drops bins that are too old for the level.
func (r *ring) binAt(level int, now time.Time) *bin {
	maxBins := levels[level].bins
	binNumber := now.UnixNano() / int64(levels[level].bin)
	elapsedBins := binNumber - r.newestBin
	if len(r.bins) == 0 || elapsedBins >= int64(maxBins) {
		r.bins = append(r.bins[:0], bin{})
		r.newestBin = binNumber
		return &r.bins[0]
	}
	for ; r.newestBin < binNumber; r.newestBin++ {
		r.pushEmpty(maxBins)
	}
	return &r.bins[len(r.bins)-1]
}

// pushEmpty appends an empty bin and drops the oldest one if there would be more than maxBins.
func (r *ring) pushEmpty(maxBins int) {
	if len(r.bins) < maxBins {
		r.bins = append(r.bins, bin{})
		return
	}
	copy(r.bins, r.bins[1:])
	r.bins[maxBins-1] = bin{}
}

// sum returns the counts of the bins that begin within the window of the given length that ends now.
func (r *ring) sum(level int, length time.Duration, now time.Time) Counts {
	var total Counts
	binLength := levels[level].bin
	oldestBin := now.Add(-length).UnixNano()/int64(binLength) + 1
	for i := range r.bins {
		binNumber := r.newestBin - int64(len(r.bins)-1-i)
		if binNumber >= oldestBin {
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
