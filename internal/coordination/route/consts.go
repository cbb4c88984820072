package route

import "time"

const (
	// DefaultRecomputeWeight is the extra cost factor of computing missed tokens against queueing for the same time, while
	// no requests are waiting.
	DefaultRecomputeWeight = 2
	// DefaultTieTolerance is the fraction of the prompt's full prefill time by which costs may differ and still count as
	// equal.
	DefaultTieTolerance = 0.1
	// OutputTokenCostFactor is the cost of an output token relative to a prompt token.
	OutputTokenCostFactor = 2
	// MaxPriority is the priority number of organisations that exceed their rate most; lower numbers run first.
	MaxPriority = 15
	// MinAllowance is the least value of the allowance, which is the usage beyond its rate, in seconds of that rate, up to
	// which an organisation's priority stays 0. It applies to organisations with little or no burst.
	MinAllowance = time.Second
	// RetryAfterNotLoaded is the Retry-After for a model without engines or a version that no engine has loaded.
	RetryAfterNotLoaded = time.Second
	// RetryAfterTried is the Retry-After when every suitable engine has been tried.
	RetryAfterTried = 500 * time.Millisecond
	// MinNoticeTokens is the number of tokens to compute from which other daemons get a notice of a request.
	MinNoticeTokens = 500
	// NoticeLinger is how long notices are collected into one batch.
	NoticeLinger = 2 * time.Millisecond
	// NoticesPerSecond limits the rate of notices that a daemon sends.
	NoticesPerSecond = 50
	// NoticeBurst is the burst of that rate limit, in notices.
	NoticeBurst = 50
	// FullScanLimit is the number of engines of a model up to which all of them are considered for each request.
	FullScanLimit = 64
	// hashedCandidates and randomCandidates are the numbers of engines that are considered beside those with a prefix hit
	// when a model has more than FullScanLimit engines: selected by the prompt's hash, and at random.
	hashedCandidates, randomCandidates = 8, 4
	// twoChoicesMaxMissedBlocks is the number of missed blocks up to which a request goes to the shorter queue of the two
	// engines that rank highest by hash; with more missed blocks the highest gets it.
	twoChoicesMaxMissedBlocks = 1
	// maxPickAttempts is how often a decision is attempted when the chosen engine changes meanwhile, such as by a restart.
	maxPickAttempts = 3
)
