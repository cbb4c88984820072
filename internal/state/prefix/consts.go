package prefix

import "time"

// BytesPerToken is the number of prompt bytes that count as one token.
const BytesPerToken = 4

// DefaultCapacity is the number of entries that an index is sized for unless its Capacity says otherwise.
const DefaultCapacity = 1 << 20

// DefaultExpectedTTL bounds the time that an entry is believed which no event of the engine has confirmed.
const DefaultExpectedTTL = 3 * time.Second

const (
	// scopeBytes is the room for a scope that is hashed without an allocation on the heap.
	scopeBytes = 256
	// bucketEntries is the number of entries in a bucket.
	bucketEntries = 8
	// windowBuckets is the number of adjacent buckets that may hold the entries of a hash.
	windowBuckets = 4
	// touchBlocks is the number of blocks whose buckets a lookup fetches at the same time.
	touchBlocks = 16
	// spareNumerator and spareDenominator give the room that a table has per entry of its capacity.
	spareNumerator, spareDenominator = 3, 2
	// stampUnit is the resolution of the age of an entry.
	stampUnit = 100 * time.Millisecond
	// useStamps is the age, in stampUnit, from which a lookup renews the age of an entry.
	useStamps = 10
	// maxEngines bounds the engines of one index.
	maxEngines = 1 << slotBits
	// hashBytes is the encoded size of a block hash in a digest, engineBytes that of the rest of an engine's part.
	hashBytes, engineBytes = 8, 48
	// scanShare is the part of the table that one digest looks at, as a divisor.
	scanShare = 4
	// maxRemovals bounds the removals that wait for the next digest.
	maxRemovals = 1 << 12
)
