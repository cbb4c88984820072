package member

import (
	"flag"

	_ "pgregory.net/rapid" // registers its flags
)

// A fixed seed makes every run draw the same cases; -rapid.seed=0 draws other ones.
func init() { _ = flag.Set("rapid.seed", "1") }
