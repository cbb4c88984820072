package claim

import (
	"flag"

	_ "pgregory.net/rapid" // registers its flags
)

// A fixed seed makes each run draw the same cases; -rapid.seed=0 draws others.
func init() { _ = flag.Set("rapid.seed", "1") }
