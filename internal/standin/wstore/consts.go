package wstore

import "time"

const (
	defaultLoadTime      = 600 * time.Millisecond
	defaultParallelLoads = 2
	defaultWeightsBytes  = 16 << 30
)
