package kvstor

import "time"

const (
	defaultBlocks  = 4096
	defaultTimeout = 2 * time.Second
	maxBodyBytes   = 16 << 20
)
