package admin

import (
	"flag"
	"os"
	"testing"

	"github.com/getkin/kin-openapi/openapi3"
	"github.com/stretchr/testify/require"
)

var updateDocument = flag.Bool("update", false, "rewrite openapi.json")

// Guards against a change of operations or types without a new openapi.json: the committed document must be the one that
// BuildOpenAPI returns, and valid.
func TestOpenAPIDocumentMatchesOperations(t *testing.T) {
	want, err := BuildOpenAPI()
	require.NoError(t, err)
	if *updateDocument {
		require.NoError(t, os.WriteFile("openapi.json", append(want, '\n'), 0o600))
	}
	got, err := os.ReadFile("openapi.json")
	require.NoError(t, err)
	require.JSONEq(t, string(want), string(got), "run go test ./internal/transport/admin -update")

	doc, err := openapi3.NewLoader().LoadFromData(got)
	require.NoError(t, err)
	require.NoError(t, doc.Validate(t.Context()))
	require.Positive(t, doc.Paths.Len())
}
