package logsvc

import "time"

const (
	defaultTimeout    = 5 * time.Second
	maxResponseBytes  = 64 << 20
	maxErrorBodyBytes = 4 << 10
)
