package config

const (
	// shardCount is the number of shards of a cowMap. A change copies one shard instead of the whole map.
	shardCount = 256

	// maxTombstones is the number of deleted paths whose revision is kept; the oldest is dropped first.
	maxTombstones = 16384

	// maxRejectedIDs is the number of invalid records whose id is kept; the oldest is dropped first.
	maxRejectedIDs = 256

	// maxChunkEntriesBytes limits the encoded entries of one checkpoint chunk. It leaves room for the chunk's other fields, so
	// that a chunk stays below 64 KiB.
	maxChunkEntriesBytes = 40 << 10
	// entryOverheadBytes is the allowance for the encoding overhead of one entry in a chunk.
	entryOverheadBytes = 8

	// Limits of the fields of a record. maxRateTokens applies to rates (tokens per second) and bursts (tokens).
	maxIDBytes       = 128
	maxListLength    = 128
	maxTextBytes     = 2 << 10
	maxRecordIDBytes = 64
	maxSettingBytes  = 16 << 10
	maxPathBytes     = 512
	maxRateTokens    = 1 << 40
)
