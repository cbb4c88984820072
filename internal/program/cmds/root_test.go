package cmds

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
)

// Scripts tell usage errors (2) from failures (1) by the exit code, and need the offending argument in the error text.
func TestExecuteReturnsExitCode(t *testing.T) {
	bad := filepath.Join(t.TempDir(), "bad.json")
	require.NoError(t, os.WriteFile(bad, []byte(`{"colour": 1}`), 0o600))
	cases := []struct {
		name      string
		args      []string
		wantCode  int
		wantError string
	}{
		{"help", []string{"--help"}, ExitOK, ""},
		{"no command", nil, ExitOK, ""},
		{"no subcommand", []string{"key"}, ExitOK, ""},
		{"no subcommand of standin", []string{"standin"}, ExitOK, ""},
		{"unknown subcommand of standin", []string{"standin", "dance"}, ExitUsage, "dance"},
		{"unknown flag", []string{"demo", "--colour"}, ExitUsage, "colour"},
		{"unknown command", []string{"dance"}, ExitUsage, "dance"},
		{"unknown subcommand", []string{"org", "dance"}, ExitUsage, "dance"},
		{"surplus argument", []string{"demo", "now"}, ExitUsage, "now"},
		{"negative requests", []string{"demo", "--requests", "-1"}, ExitUsage, "--requests"},
		{"no settings", []string{"check"}, ExitUsage, "--settings"},
		{"invalid settings", []string{"check", "--settings", bad}, ExitUsage, "faults"},
		{"invalid settings of a daemon", []string{"serve", "--settings", bad}, ExitUsage, "faults"},
		{"missing file", []string{"serve", "--settings", "none.json"}, ExitUsage, "none.json"},
		{"unknown policy", []string{"load", "--policy", "best"}, ExitUsage, "--policy"},
		{"unknown fault", []string{"load", "--faults", "flood"}, ExitUsage, "--faults"},
		{"unknown move", []string{"load", "--move", "sideways"}, ExitUsage, "--move"},
		{"unknown profile", []string{"load", "--profile", "none"}, ExitFailed, "none"},
		{"no server", []string{"status", "--key", "k"}, ExitUsage, "--server"},
		{"no key", []string{"status", "--server", "127.0.0.1:1"}, ExitUsage, "--key"},
		{"malformed field", []string{"org", "set", "a", "rate", "--server", "127.0.0.1:1", "--key", "k"}, ExitUsage, "rate"},
		{"connection refused", []string{"status", "--server", "127.0.0.1:1", "--key", "k"}, ExitFailed, "refused"},
	}
	t.Setenv(envServer, "")
	t.Setenv(envKey, "")
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			var out, errOut bytes.Buffer
			require.Equal(t, tc.wantCode, Execute(tc.args, &out, &errOut), errOut.String())
			require.Contains(t, errOut.String(), tc.wantError)
		})
	}
}

// Guards against a check that stops at the first problem of a settings file.
func TestCheckPrintsEveryProblem(t *testing.T) {
	bad := filepath.Join(t.TempDir(), "bad.json")
	require.NoError(t, os.WriteFile(bad, []byte(`{"colour": 1, "policy": "best"}`), 0o600))
	var out, errOut bytes.Buffer
	Execute([]string{"check", "--settings", bad}, &out, &errOut)
	require.Contains(t, out.String(), "colour: unknown setting")
	require.Contains(t, out.String(), `policy: is "best", allowed are prefix, leastLoad, roundRobin, random`)
}
