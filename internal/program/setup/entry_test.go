package setup

import (
	"testing"

	"github.com/stretchr/testify/require"
)

const entrySettings = `{"daemonId":"d1","failureDomain":"z","store":"127.0.0.1:1","seeds":["127.0.0.1:2"],
	"listen":{"callers":"127.0.0.1:3","ready":"127.0.0.1:4","directory":"127.0.0.1:5","peers":"127.0.0.1:6"},
	"limits":{"graceS":8,"leaseMs":3000,"fenced":true,"weightsMs":8000,"retryShare":0.2,"retrySlack":50,"retryWindowS":10,
	"directoryTtlS":5}}`

// Guards against entry settings that are accepted with a missing, misspelt or invalid field.
func TestDecodeEntrySettings(t *testing.T) {
	var s Entry
	require.Empty(t, Decode([]byte(entrySettings), &s))
	require.True(t, s.Limits.Fenced)
	for raw, path := range map[string]string{
		`{"daemonId":"d1"}`: "failureDomain",
		`{"daemonId":"d1","failureDomain":"z","store":"host"}`: "store",
		`{"daemonid":"d1"}`:        "daemonid",
		`{"limits":{"graceS":-1}}`: "limits.graceS",
	} {
		var paths []string
		for _, p := range Decode([]byte(raw), &Entry{}) {
			paths = append(paths, p.Path)
		}
		require.Contains(t, paths, path, raw)
	}
}
