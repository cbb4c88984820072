package kvstor

import "time"

const (
	defaultCapacityBlocks = 4096
	requestTimeout        = 2 * time.Second // of Remote, for one request
	maxBodyBytes          = 16 << 20
)
