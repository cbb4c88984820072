package rhash

import (
	"github.com/cespare/xxhash/v2"

	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

// Group returns the number, from 0, of the group of n groups to which a daemon belongs.
func Group(id ident.DaemonID, n int) int {
	return int(mix(xxhash.Sum64String(string(id)), 0) % uint64(n))
}
