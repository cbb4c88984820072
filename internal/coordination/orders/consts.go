package orders

import "time"

const (
	// defaultMaxConcurrentLoads is the number of engines that may load weights at the same time if the settings don't
	// say otherwise.
	defaultMaxConcurrentLoads = 2
	// tickInterval is the time between two checks of what the engines have loaded.
	tickInterval = 200 * time.Millisecond
	// OrderTimeout is the longest time that an order to an engine may take.
	OrderTimeout = 30 * time.Second
	// leaseTTL is the longest time for which a daemon may act on an outdated state, given by its serving lease.
	leaseTTL = 3 * time.Second
	// unloadGrace is how long an engine keeps a version that is no longer in use, counted from when the last request can
	// have been sent to it.
	unloadGrace = 30 * time.Second
	// reportStaleAfter is the age of a load report from which its engine is ignored.
	reportStaleAfter = 15 * time.Second
	// repeatDelay is how long an order that was carried out is not repeated, whatever the engine reports: the next
	// reports may be older than the order.
	repeatDelay = 3 * time.Second
	// retryInitialInterval and retryMaxInterval bound the backoff after failed orders.
	retryInitialInterval = 500 * time.Millisecond
	retryMaxInterval     = 15 * time.Second
	// defaultLoadTime is the assumed duration of a load until this daemon has seen one.
	defaultLoadTime = time.Second
	// minLoadedEngines is the number of engines that must have loaded the new version before it gets any traffic. If the
	// model has fewer engines, all must have.
	minLoadedEngines = 2
	// servingNumerator and servingDenominator give the share of a model's live engines that must go on serving while
	// others load, unless Scheduler.MinServingEngines is set.
	servingNumerator, servingDenominator = 2, 3
	fullSharePermille                    = 1000
)
