package route

import (
	"time"

	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

const (
	// DefaultRecomputeWeight is how much the computation of a missed token weighs more than the wait for it.
	DefaultRecomputeWeight = 0.5
	// DefaultSlack is the part of a prompt's computation by which estimates may differ and count as equal.
	DefaultSlack = 0.1
	// DefaultRate weighs the use of organisations without a rate.
	DefaultRate ident.TokensPerSecond = 10000
	// RetryShare is the part of the traffic that retries may add.
	RetryShare = 0.1
	// RetryBurst is the number of retries that may come at once.
	RetryBurst = 20
	// OutputWeight is the cost of an output token against that of a prompt token.
	OutputWeight = 2
	// MaxPriority is the priority of the organisations that are furthest beyond their part.
	MaxPriority = 15
	// PriorityQuantum is the use, as time of the organisation's own rate, that makes one step of priority.
	PriorityQuantum = 250 * time.Millisecond
	// ActiveTime is how long an organisation counts as active after its last request.
	ActiveTime = 5 * time.Second
	// FloorTime is how often the use of the least served active organisation is worked out.
	FloorTime = 50 * time.Millisecond
	// RetryAfterNotLoaded is when to ask again for a version that no engine has loaded.
	RetryAfterNotLoaded = time.Second
	// RetryAfterBusy is when to ask again after a refusal for the retry budget or tried engines.
	RetryAfterBusy = 500 * time.Millisecond
	// ScanLimit is the number of engines of a model up to which all are weighed.
	ScanLimit = 64
	// placedCandidates and randomCandidates are weighed beside the holders among more engines than ScanLimit.
	placedCandidates, randomCandidates = 8, 4
	// spreadBlocks is the number of missing blocks up to which a request is spread between two holders.
	spreadBlocks = 1
	// maxStale bounds how often a decision is made again because an engine restarted meanwhile.
	maxStale = 3
)
