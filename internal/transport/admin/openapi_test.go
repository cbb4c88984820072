package admin

import (
	"flag"
	"os"
	"testing"

	"github.com/getkin/kin-openapi/openapi3"
	"github.com/stretchr/testify/require"
)

var rewrite = flag.Bool("update", false, "write openapi.json anew")

func TestCommittedDocumentMatchesTheHandlers(t *testing.T) {
	want, err := BuildOpenAPI()
	require.NoError(t, err)
	if *rewrite {
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
