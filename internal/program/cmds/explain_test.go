package cmds

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
)

const requestSentLine = `I0417 17:57:18.518342   13832 run.go:232] "Request sent" request="0591" upstream="i-3b" attempt=1 cost=13891 ` +
	`cached="here" leftMs=5565` + "\n"

const requestEndedLine = `I0417 17:57:20.066410   13832 handler.go:226] "Request ended" request="0591" status=200 outcome="answered" ` +
	`attempts=1 config=4 firstMs=1095 totalMs=1549 patienceMs=5566` + "\n"

// The lines of one request are spread over the logs of several daemons, among other lines that contain its id or belong
// to other requests. Only its own lines may be printed, in the order of time and not of the files.
func TestExplainMergesLogsInTimeOrder(t *testing.T) {
	dir := t.TempDir()
	a, b := filepath.Join(dir, "a.log"), filepath.Join(dir, "b.log")
	require.NoError(t, os.WriteFile(a, []byte("noise 0591\n"+requestEndedLine), 0o600))
	require.NoError(t, os.WriteFile(b, []byte(requestSentLine+`I0417 17:57:18.5 1 x.go:1] "Request sent" request="other"`+"\n"), 0o600))
	var out, errOut bytes.Buffer
	require.Equal(t, ExitOK, Execute([]string{"explain", "0591", a, b}, &out, &errOut), errOut.String())
	require.Equal(t, "17:57:18.518342  Attempt 1 went to i-3b, which holds its prompt; some 13891 tokens of work were ahead, "+
		"5565 ms were left.\n17:57:20.066410  It ended after 1549 ms with status 200: answered (first byte after 1095 ms, "+
		"attempts 1, configuration 4, patience 5566 ms).\n", out.String())
}

// Guards against an incident whose logs don't tell why a replaced version was thought fit.
func TestExplainTellsOfReplacedWeights(t *testing.T) {
	file := filepath.Join(t.TempDir(), "a.log")
	line := `I0417 17:57:18.518342   13832 attempt.go:54] "Request sent" request="0591" upstream="i-3b" attempt=1 weights=1 replacedMs=6950 ` +
		`named=2 namedAgeMs=6950 namedObserved=false namedOffset="1:44" cost=13891 cached="here" leftMs=5565` + "\n"
	require.NoError(t, os.WriteFile(file, []byte(line), 0o600))
	var out, errOut bytes.Buffer
	require.Equal(t, ExitOK, Execute([]string{"explain", "0591", file}, &out, &errOut), errOut.String())
	require.Contains(t, out.String(), "version 1, were replaced 6950 ms before; version 2 was named 6950 ms before (estimated, record 1:44).")
}

// A request without log lines must not end in an empty output with exit code 0; a missing file is a usage error.
func TestExplainFailsForUnknownRequest(t *testing.T) {
	file := filepath.Join(t.TempDir(), "a.log")
	require.NoError(t, os.WriteFile(file, []byte(requestSentLine), 0o600))
	var out, errOut bytes.Buffer
	require.Equal(t, ExitFailed, Execute([]string{"explain", "9999", file}, &out, &errOut))
	require.Contains(t, errOut.String(), "no line on request 9999")
	require.Equal(t, ExitUsage, Execute([]string{"explain", "9999", file + "x"}, &out, &errOut))
}

// Guards against a request that waited too long on replaced weights and whose call back the operator can't read.
func TestExplainTellsOfCallBack(t *testing.T) {
	file := filepath.Join(t.TempDir(), "a.log")
	line := `I0417 17:57:18.518342   13832 attempt.go:54] "Request called back from replaced weights" request="0591" upstream="i-3b" weights=1 waitMs=950 repeatable=false` + "\n"
	require.NoError(t, os.WriteFile(file, []byte(line), 0o600))
	var out, errOut bytes.Buffer
	require.Equal(t, ExitOK, Execute([]string{"explain", "0591", file}, &out, &errOut), errOut.String())
	require.Contains(t, out.String(), "i-3b had not begun it after 950 ms, and its weights, version 1, neared their limit: it was called back; it may run again: false.")
}

// Guards against silence, unsigned answers and stops in a request's way that the operator can't read.
func TestExplainTellsOfSilenceAndStops(t *testing.T) {
	const prefix = `I0417 17:57:18.518342   13832 x.go:1] `
	for line, want := range map[string]string{
		`"Upstream of an attempt silent" request="0591" upstream="i-3b" givenUp=true obstacle=""`:        "i-3b had fallen silent: another attempt was secured",
		`"Peer of an attempt silent" request="0591" peer="d-2" givenUp=false obstacle="noPeer"`:          "d-2 had fallen silent and was waited for, as no other attempt could follow (noPeer).",
		`"Success without a signature" request="0591" peer="d-2" status=200 arrivals=1`:                  "d-2 sent a success (status 200) that lacks its signature",
		`"Request tried elsewhere before the stop" request="0591" upstream="i-3b" answered=true`:         "i-3b was asked as well (answered: true).",
		`"Stop ends request" request="0591" arrivedAfterSignalMs=900 takesMs=1200 samples=9 untilStop=0`: "it came 900 ms after the signal, and was expected to take 1200 ms (9 answers known).",
	} {
		file := filepath.Join(t.TempDir(), "a.log")
		require.NoError(t, os.WriteFile(file, []byte(prefix+line+"\n"), 0o600))
		var out, errOut bytes.Buffer
		require.Equal(t, ExitOK, Execute([]string{"explain", "0591", file}, &out, &errOut), errOut.String())
		require.Contains(t, out.String(), want)
	}
}
