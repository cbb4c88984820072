package extern

import (
	"context"

	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

// Weights describes the weights of a version in the weight store.
type Weights struct {
	Name  string `json:"name"`
	Bytes int64  `json:"bytes"`
}

// WeightStore is the platform's store of model weights. Its bandwidth is limited and shared by the engines that load at the
// same time.
type WeightStore interface {
	// Stat returns the name and size of a version's weights. The error is an *UpstreamError.
	Stat(ctx context.Context, version ident.VersionID) (Weights, error)
}
