package wstore

import "time"

const (
	defaultLoadTime = 600 * time.Millisecond
	defaultParallel = 2
	defaultBytes    = 16 << 30
)
