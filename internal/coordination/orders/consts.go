package orders

import "time"

const (
	// defaultTogether is the number of engines that may load weights at the same time.
	defaultTogether = 2
	// tickInterval is the time between two looks at what engines have loaded.
	tickInterval = 200 * time.Millisecond
	// OrderTimeout is the longest time that an order may take.
	OrderTimeout = 30 * time.Second
	// leaseTTL is the longest time for which a daemon acts on what it knew.
	leaseTTL = 3 * time.Second
	// unloadGrace is how long a version is kept after the last request may have been sent to it.
	unloadGrace = 30 * time.Second
	// reportAge is the age of a load report from which an engine counts as unknown.
	reportAge = 15 * time.Second
	// settleTime is how long an order that was carried out is not repeated, whatever the engine reports.
	settleTime    = 3 * time.Second
	retryInitial  = 500 * time.Millisecond
	retryMax      = 15 * time.Second
	firstLoadTime = time.Second
	// spareEngines is the number of engines with the new version that the smallest share needs, if there are as many.
	spareEngines = 2
	// keepServing is the part of a model's engines that never load at the same time, as numerator and denominator.
	keepServing, keepServingOf = 2, 3
	wholePermille              = 1000
)
