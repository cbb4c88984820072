package replay

import (
	"flag"

	_ "pgregory.net/rapid" // registers its flags
)

// The fixed seed makes every run draw the same test cases; -rapid.seed=0 draws new ones.
func init() { _ = flag.Set("rapid.seed", "1") }
