// Package deps names the libraries that the design has chosen, until the packages that use them have landed.
package deps

import (
	_ "connectrpc.com/connect"
	_ "github.com/HdrHistogram/hdrhistogram-go"
	_ "github.com/VictoriaMetrics/metrics"
	_ "github.com/anishathalye/porcupine"
	_ "github.com/cenkalti/backoff/v5"
	_ "github.com/cespare/xxhash/v2"
	_ "github.com/getkin/kin-openapi/openapi3"
	_ "github.com/go-kit/kit/endpoint"
	_ "github.com/go-kit/kit/transport/http"
	_ "github.com/go-playground/validator/v10"
	_ "github.com/openai/openai-go/v3"
	_ "github.com/spf13/cobra"
	_ "github.com/spf13/cobra/doc"
	_ "github.com/stretchr/testify/require"
	_ "go.uber.org/goleak"
	_ "golang.org/x/sync/errgroup"
	_ "gonum.org/v1/plot"
	_ "gonum.org/v1/plot/plotter"
	_ "gonum.org/v1/plot/vg"
	_ "google.golang.org/protobuf/proto"
	_ "k8s.io/klog/v2"
	_ "pgregory.net/rapid"
)
