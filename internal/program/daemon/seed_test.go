package daemon

import (
	"flag"

	_ "pgregory.net/rapid" // registers the rapid.* flags
)

// Fixes the seed, so that every run draws the same cases; -rapid.seed=0 draws random ones.
func init() { _ = flag.Set("rapid.seed", "1") }
