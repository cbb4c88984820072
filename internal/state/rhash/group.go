package rhash

import (
	"github.com/cespare/xxhash/v2"

	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

// Group returns the group, from 0 to n-1, to which a daemon belongs. It depends only on the id and n.
func Group(id ident.DaemonID, n int) int {
	return int(mix(xxhash.Sum64String(string(id)), 0) % uint64(n))
}
