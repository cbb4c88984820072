package config

const (
	// tableShards is the number of parts of a large index; a change copies one of them.
	tableShards = 256

	// maxTombstones bounds the deleted paths whose revision is remembered, the oldest forgotten first.
	maxTombstones = 16384

	// maxRejected bounds the invalid records whose id is remembered.
	maxRejected = 256

	// chunkBytes bounds the entries of one checkpoint chunk, with room for its other fields below 64 KiB.
	chunkBytes = 40 << 10
	// entryOverheadBytes is the framing of one entry in a chunk.
	entryOverheadBytes = 8

	// Bounds of what a record may carry.
	maxIDBytes      = 128
	maxListLength   = 128
	maxTextBytes    = 2 << 10
	maxRecordID     = 64
	maxSettingBytes = 16 << 10
	maxPathBytes    = 512
	maxRateTokens   = 1 << 40
)
