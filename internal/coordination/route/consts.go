package route

import "time"

const (
	// DefaultRecomputeWeight is how much the computation of a missed token weighs more than the wait for it while no
	// requests wait.
	DefaultRecomputeWeight = 2
	// DefaultTieTolerance is the part of a prompt's computation by which estimates may differ and count as equal.
	DefaultTieTolerance = 0.1
	// OutputTokenCostFactor is the cost of an output token against that of a prompt token.
	OutputTokenCostFactor = 2
	// MaxPriority is the priority of the organisations that are furthest beyond their rate.
	MaxPriority = 15
	// MinAllowance is the use beyond its rate, as time of that rate, from which an organisation with little or no
	// burst runs later.
	MinAllowance = time.Second
	// RetryAfterNotLoaded is when to ask again for a version that no engine has loaded.
	RetryAfterNotLoaded = time.Second
	// RetryAfterTried is when to ask again after a refusal for tried engines.
	RetryAfterTried = 500 * time.Millisecond
	// MinNoticeTokens is the least number of tokens to compute of which other daemons are told at once.
	MinNoticeTokens = 500
	// NoticeLinger is how long notices are collected before they are sent together.
	NoticeLinger = 2 * time.Millisecond
	// NoticesPerSecond bounds the notices that a daemon sends a second.
	NoticesPerSecond = 50
	// NoticeBurst bounds the notices that it sends at once.
	NoticeBurst = 50
	// FullScanLimit is the number of engines of a model up to which all are weighed.
	FullScanLimit = 64
	// placedCandidates and randomCandidates are weighed beside the holders among more engines than ScanLimit.
	placedCandidates, randomCandidates = 8, 4
	// spreadBlocks is the number of missing blocks up to which a request is spread between two holders.
	spreadBlocks = 1
	// maxStale bounds how often a decision is made again because an engine restarted meanwhile.
	maxStale = 3
)
