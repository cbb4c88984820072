package prefix

import (
	"flag"

	_ "pgregory.net/rapid" // registers its flags
)

// A fixed seed makes every run draw the same cases; -rapid.seed=0 draws different ones in each run.
func init() { _ = flag.Set("rapid.seed", "1") }
