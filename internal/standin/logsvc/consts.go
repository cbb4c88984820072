package logsvc

const (
	defaultAppendsPerSecond = 500
	maxReadRecords          = 10_000
	maxPayloadBytes         = 1 << 20
)
