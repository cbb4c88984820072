package prefix

import "time"

// BytesPerToken is the number of prompt bytes that count as one token. The router has no tokenizer.
const BytesPerToken = 4

// DefaultCapacity is the number of entries that an index is sized for if its Capacity is not set.
const DefaultCapacity = 1 << 20

// DefaultExpectedTTL is how long an entry stays valid that no cache event of the engine has confirmed.
const DefaultExpectedTTL = 3 * time.Second

const (
	// scopeBytes is the buffer size in bytes up to which a scope is hashed without a heap allocation.
	scopeBytes = 256
	// bucketEntries is the number of entries in a bucket of the hash table.
	bucketEntries = 8
	// probeBuckets is the number of adjacent buckets, from the home bucket on, that may hold the entries of a hash.
	probeBuckets = 4
	// prefetchBlocks is the number of blocks whose buckets a lookup prefetches from memory at a time.
	prefetchBlocks = 16
	// sizeNumerator and sizeDenominator give the number of allocated entries per entry of capacity.
	sizeNumerator, sizeDenominator = 3, 2
	// stampUnit is the resolution of the time stamps of entries.
	stampUnit = 100 * time.Millisecond
	// renewAgeStamps is the age, in units of stampUnit, from which a lookup renews the time stamp of an entry.
	renewAgeStamps = 10
	// maxEngines is the largest number of engines in one index.
	maxEngines = 1 << slotBits
	// digestHashBytes is the assumed encoded size in bytes of a block hash in a digest, digestEngineBytes that of
	// everything else about an engine.
	digestHashBytes, digestEngineBytes = 8, 48
	// deltaScanDivisor limits one call of Delta to a scan of 1/deltaScanDivisor of the table.
	deltaScanDivisor = 4
	// maxPendingRemovals is the largest number of removals that are kept for the next digest.
	maxPendingRemovals = 1 << 12
)
