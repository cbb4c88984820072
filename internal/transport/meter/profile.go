package meter

import (
	"context"
	"runtime/pprof"
)

// WithProfileLabel runs f with the CPU profile label part=control, which the goroutines that f starts inherit.
func WithProfileLabel(ctx context.Context, f func(context.Context)) {
	pprof.Do(ctx, pprof.Labels("part", "control"), f)
}
