package place

import (
	"time"

	"github.com/gooseberryway/gooseberryway/internal/coordination/estim"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

const (
	// urgencyLevels is the number of priorities at the engines that requests can have while they can be on time.
	urgencyLevels = 4
	// urgencyHalfLife is the time in which what was sent loses half of its weight in an urgencyMix. Bursts of one kind of request last
	// seconds.
	urgencyHalfLife = time.Second
	// minUrgencySamples is the weight of requests or tokens below which the mix says nothing.
	minUrgencySamples = 1
)

// urgencyMix tells which part of the work at the engines comes before a request of a given priority. Callers pick daemons at random, so
// the mix of what this daemon sends is that of what waits at the engines: heartbeats don't tell priorities. The zero value is ready for use;
// it isn't safe for concurrent use.
type urgencyMix struct {
	// tokens and requests are by priority; late requests count as the last.
	tokens, requests [urgencyLevels + 1]float64
	updatedAt        time.Time
}

// observe adds a request.
func (m *urgencyMix) observe(now time.Time, priority int, late bool, tokens ident.Tokens) {
	m.decay(now)
	level := urgencyLevel(priority)
	if late {
		level = urgencyLevels
	}
	m.tokens[level] += float64(tokens)
	m.requests[level]++
}

// tokensBefore returns the part, from 0 to 1, of the prompt tokens of requests that can be on time that belongs to those with the
// priority or a more urgent one; 1 if nothing was sent of late.
func (m *urgencyMix) tokensBefore(now time.Time, priority int) float64 {
	m.decay(now)
	return partUpTo(m.tokens[:urgencyLevels], urgencyLevel(priority))
}

// requestsBefore returns the same of all requests, those included that are late.
func (m *urgencyMix) requestsBefore(now time.Time, priority int) float64 {
	m.decay(now)
	return partUpTo(m.requests[:], urgencyLevel(priority))
}

func partUpTo(byLevel []float64, level int) float64 {
	var sum, before float64
	for i, n := range byLevel {
		sum += n
		if i <= level {
			before += n
		}
	}
	if sum < minUrgencySamples {
		return 1
	}
	return before / sum
}

func (m *urgencyMix) decay(now time.Time) {
	factor := estim.Decay(now.Sub(m.updatedAt), urgencyHalfLife)
	for i := range m.tokens {
		m.tokens[i] *= factor
		m.requests[i] *= factor
	}
	m.updatedAt = now
}

func urgencyLevel(priority int) int { return min(max(priority, 0), urgencyLevels-1) }
