package rhash

import (
	"flag"

	_ "pgregory.net/rapid" // registers its flags
)

// A fixed seed makes each run draw the same cases; -rapid.seed=0 draws random ones.
func init() { _ = flag.Set("rapid.seed", "1") }
