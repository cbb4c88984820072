package meter

import (
	"context"
	"runtime/pprof"
)

// WithProfileLabel runs f such that processor profiles show it, and the goroutines that it starts, with the label part=control.
func WithProfileLabel(ctx context.Context, f func(context.Context)) {
	pprof.Do(ctx, pprof.Labels("part", "control"), f)
}
