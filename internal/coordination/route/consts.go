package route

import "time"

const (
	// DefaultRecomputeWeight is how much the computation of a missed token weighs more than the wait for it while no
	// requests wait.
	DefaultRecomputeWeight = 2
	// DefaultSlack is the part of a prompt's computation by which estimates may differ and count as equal.
	DefaultSlack = 0.1
	// OutputWeight is the cost of an output token against that of a prompt token.
	OutputWeight = 2
	// MaxPriority is the priority of the organisations that are furthest beyond their rate.
	MaxPriority = 15
	// MinAllowance is the use beyond its rate, as time of that rate, from which an organisation with little or no
	// burst runs later.
	MinAllowance = time.Second
	// RetryAfterNotLoaded is when to ask again for a version that no engine has loaded.
	RetryAfterNotLoaded = time.Second
	// RetryAfterBusy is when to ask again after a refusal for tried engines.
	RetryAfterBusy = 500 * time.Millisecond
	// NoticeTokens is the least number of tokens to compute of which other daemons are told at once.
	NoticeTokens = 500
	// NoticeLinger is how long notices are collected before they are sent together.
	NoticeLinger = 2 * time.Millisecond
	// NoticeRate bounds the notices that a daemon sends a second.
	NoticeRate = 50
	// NoticeBurst bounds the notices that it sends at once.
	NoticeBurst = 50
	// ScanLimit is the number of engines of a model up to which all are weighed.
	ScanLimit = 64
	// placedCandidates and randomCandidates are weighed beside the holders among more engines than ScanLimit.
	placedCandidates, randomCandidates = 8, 4
	// spreadBlocks is the number of missing blocks up to which a request is spread between two holders.
	spreadBlocks = 1
	// maxStale bounds how often a decision is made again because an engine restarted meanwhile.
	maxStale = 3
)
