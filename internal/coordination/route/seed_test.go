package route

import (
	"flag"

	_ "pgregory.net/rapid" // registers its flags
)

// A fixed seed makes rapid draw the same cases in every run; -rapid.seed=0 draws new ones.
func init() { _ = flag.Set("rapid.seed", "1") }
