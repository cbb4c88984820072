package moves

import "math"

// signal is one measure by which a version can be worse: failures, times to first token or times between tokens.
type signal int

const (
	signalFailure signal = iota
	signalTTFT
	signalITL
	numSignals
)

// degradationLevels are the fractions of good answers that a bad version is assumed to spoil: a few, some, most.
var degradationLevels = [...]float64{0.08, 0.3, 0.8}

// trial is a number of answers and how many of them were bad.
type trial struct {
	answers, bad float64
}

func (t *trial) add(o trial) {
	t.answers += o.answers
	t.bad += o.bad
}

func (t *trial) scale(by float64) {
	t.answers *= by
	t.bad *= by
}

// rate returns the rate of bad answers, drawn towards the prior rate when there are few answers.
func (t trial) rate(prior float64) float64 {
	return t.rateWithPrior(prior, priorSamples)
}

// rateWithPrior is rate with the given weight of the prior rate, in samples.
func (t trial) rateWithPrior(prior, priorWeight float64) float64 {
	return (t.bad + prior*priorWeight) / (t.answers + priorWeight)
}

// trialOf returns the answers and bad answers of a signal.
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

// cusumScore is a cumulative sum (Page's CUSUM test) of the log-likelihood ratio of "the version is worse" to "it is
// as good as the old one", one sum for each of degradationLevels. A sum never falls below zero, so that a version
// that turns bad late is found as fast as one that is bad at first.
type cusumScore struct {
	sums [len(degradationLevels)]float64
	// sinceZero holds the answers since all sums were last zero.
	sinceZero trial
}

// logLikelihoodRatios returns the log-likelihood ratios of a trial, given the rate of bad answers that a good version
// is allowed. A trial may hold more bad answers than answers, as an answer that is truncated was counted at its first
// token.
func logLikelihoodRatios(t trial, allowedRate float64) [len(degradationLevels)]float64 {
	var logRatios [len(degradationLevels)]float64
	for i, d := range degradationLevels {
		badRate := allowedRate + (1-allowedRate)*d
		logRatios[i] = t.bad*math.Log(badRate/allowedRate) + max(0, t.answers-t.bad)*math.Log(1-d)
	}
	return logRatios
}

func (s *cusumScore) add(logRatios [len(degradationLevels)]float64, t trial) {
	highest := 0.0
	for i := range s.sums {
		s.sums[i] = max(0, s.sums[i]+logRatios[i])
		highest = max(highest, s.sums[i])
	}
	s.sinceZero.add(t)
	if highest == 0 {
		s.sinceZero = trial{}
	}
}

// value returns the strongest evidence against the version, in nats.
func (s *cusumScore) value() float64 {
	highest := 0.0
	for _, sum := range s.sums {
		highest = max(highest, sum)
	}
	return highest
}
