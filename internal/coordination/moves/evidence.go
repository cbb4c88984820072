package moves

import "math"

// signal is one way in which a version can be worse.
type signal int

const (
	signalFailure signal = iota
	signalTTFT
	signalITL
	signals
)

// worseBy are the parts of good answers that a bad version is supposed to spoil: a few, some, most.
var worseBy = [...]float64{0.08, 0.3, 0.8}

// trial is a number of answers and how many of them were bad.
type trial struct {
	n, bad float64
}

func (t *trial) add(o trial) {
	t.n += o.n
	t.bad += o.bad
}

func (t *trial) scale(by float64) {
	t.n *= by
	t.bad *= by
}

// rate returns the part of bad answers, drawn towards the prior rate when there are few.
func (t trial) rate(prior float64) float64 {
	return t.rateWith(prior, priorSamples)
}

// rateWith is rate with another weight of the prior rate.
func (t trial) rateWith(prior, samples float64) float64 {
	return (t.bad + prior*samples) / (t.n + samples)
}

// trialOf returns a signal's part of counts.
func (c counts) trialOf(s signal) trial {
	switch s {
	case signalFailure:
		return trial{float64(c.requests), float64(c.failures)}
	case signalTTFT:
		return trial{float64(c.ttftSamples), float64(c.ttftSlow)}
	default:
		return trial{float64(c.itlSamples), float64(c.itlSlow)}
	}
}

// score is a cumulative sum (Page's test) of the logarithm of the likelihood that a version is worse over the
// likelihood that it is as good as the old one, for each of worseBy. It never falls below zero, so that a version
// that turns bad late is found as fast as one that is bad at first.
type score struct {
	sums [len(worseBy)]float64
	// run are the answers since the sum was last zero.
	run trial
}

// gain returns the logarithms of the likelihood ratios of a trial, given the rate of bad answers of a good version.
// A trial may hold more bad answers than answers, as one that is cut short was counted at its first token.
func gain(t trial, base float64) [len(worseBy)]float64 {
	var g [len(worseBy)]float64
	for i, d := range worseBy {
		worse := base + (1-base)*d
		g[i] = t.bad*math.Log(worse/base) + max(0, t.n-t.bad)*math.Log(1-d)
	}
	return g
}

func (s *score) add(g [len(worseBy)]float64, t trial) {
	highest := 0.0
	for i := range s.sums {
		s.sums[i] = max(0, s.sums[i]+g[i])
		highest = max(highest, s.sums[i])
	}
	s.run.add(t)
	if highest == 0 {
		s.run = trial{}
	}
}

// value returns the strongest evidence against the version.
func (s *score) value() float64 {
	highest := 0.0
	for _, sum := range s.sums {
		highest = max(highest, sum)
	}
	return highest
}
