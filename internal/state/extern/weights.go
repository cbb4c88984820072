package extern

import (
	"context"

	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

// Weights describes weights in the weight store.
type Weights struct {
	Name  string `json:"name"`
	Bytes int64  `json:"bytes"`
}

// WeightStore is the platform's store of model weights. It is rate-limited: engines that load at the same time
// share its rate.
type WeightStore interface {
	// Stat returns the weights of a version. The error is an *UpstreamError.
	Stat(ctx context.Context, version ident.VersionID) (Weights, error)
}
