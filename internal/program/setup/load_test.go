package setup

import (
	"errors"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
)

const validSettings = `{
	"daemonId": "d1", "failureDomain": "riga-1",
	"listen": {"callers": "127.0.0.1:8080", "peers": "127.0.0.1:8081", "admin": "127.0.0.1:8082"},
	"advertise": {"callers": "127.0.0.1:8080", "peers": "127.0.0.1:8081", "admin": "127.0.0.1:8082"},
	"logService": {"url": "http://127.0.0.1:9000"},
	"vmList": {"url": "http://127.0.0.1:9001"},
	"weightStore": {"url": "http://127.0.0.1:9002"},
	"sharedToken": "0123456789abcdef"
}`

func writeSettings(t *testing.T, text string) string {
	t.Helper()
	file := filepath.Join(t.TempDir(), "settings.json")
	require.NoError(t, os.WriteFile(file, []byte(text), 0o600))
	return file
}

func TestLoadFillsDefaults(t *testing.T) {
	s, err := Load(writeSettings(t, validSettings))
	require.NoError(t, err)
	require.Equal(t, "prefix", s.Policy)
	require.Equal(t, int64(2000), s.LogService.TimeoutMs)
}

// Each case makes one change to valid settings. Guards against invalid settings that are accepted, and against problems
// that name another setting.
func TestLoadReportsPathOfInvalidSetting(t *testing.T) {
	cases := []struct {
		name, old, new, path string
	}{
		{"unknown field", `"sharedToken"`, `"colour": 1, "sharedToken"`, "colour"},
		{"unknown nested field", `"listen": {`, `"listen": {"metrics": "x", `, "listen.metrics"},
		{"wrong case", `"failureDomain"`, `"FailureDomain"`, "FailureDomain"},
		{"wrong type", `"d1"`, `5`, "daemonId"},
		{"missing required setting", `"daemonId": "d1",`, ``, "daemonId"},
		{"host name", `"callers": "127.0.0.1:8080", "peers"`, `"callers": "localhost:8080", "peers"`, "listen.callers"},
		{"two listeners on one address", `"peers": "127.0.0.1:8081", "admin"`, `"peers": "127.0.0.1:8080", "admin"`, "listen.peers"},
		{"unit in a string", `"http://127.0.0.1:9000"`, `"http://127.0.0.1:9000", "timeoutMs": "2s"`, "logService.timeoutMs"},
		{"below the minimum", `"http://127.0.0.1:9000"`, `"http://127.0.0.1:9000", "timeoutMs": 1`, "logService.timeoutMs"},
		{"neither TLS nor shared token for peers", `,
	"sharedToken": "0123456789abcdef"`, ``, "tls.peers"},
		{"shared token on another address than loopback", `"peers": "127.0.0.1:8081"`, `"peers": "10.0.0.1:8081"`, "sharedToken"},
		{"admin without TLS on another address than loopback", `"admin": "127.0.0.1:8082"`, `"admin": "10.0.0.1:8082"`, "tls.admin"},
		{"unknown policy", `"sharedToken"`, `"policy": "best", "sharedToken"`, "policy"},
		{"admission wait above the request timeout", `"sharedToken"`, `"limits": {"requestTimeoutMs": 1000, "admitWaitMs": 2000}, "sharedToken"`, "limits.admitWaitMs"},
		{"decreasing steps", `"sharedToken"`, `"moves": {"stepsPermille": [100, 50, 1000]}, "sharedToken"`, "moves.stepsPermille"},
		{"last step below 1000 permille", `"sharedToken"`, `"moves": {"stepsPermille": [100, 500]}, "sharedToken"`, "moves.stepsPermille"},
		{"negative time", `"sharedToken"`, `"moves": {"minStepMs": -1}, "sharedToken"`, "moves.minStepMs"},
		{"slow percent above the maximum", `"sharedToken"`, `"moves": {"slowPercent": 5000}, "sharedToken"`, "moves.slowPercent"},
		{"too many concurrent loads", `"sharedToken"`, `"loads": {"loadsTogether": 65}, "sharedToken"`, "loads.loadsTogether"},
		{"trailing data", `"sharedToken": "0123456789abcdef"
}`, `"sharedToken": "0123456789abcdef"} {}`, ""},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			text := replaceOnce(t, validSettings, tc.old, tc.new)
			_, err := Load(writeSettings(t, text))
			var settingsErr *SettingsError
			require.ErrorAs(t, err, &settingsErr)
			paths := make([]string, 0, len(settingsErr.Problems))
			for _, p := range settingsErr.Problems {
				paths = append(paths, p.Path)
			}
			require.Contains(t, paths, tc.path, "%v", err)
		})
	}
}

func replaceOnce(t *testing.T, text, old, with string) string {
	t.Helper()
	for i := range len(text) - len(old) + 1 {
		if text[i:i+len(old)] == old {
			return text[:i] + with + text[i+len(old):]
		}
	}
	t.Fatalf("%q is not in the settings", old)
	return ""
}

func TestLoadReportsMissingFile(t *testing.T) {
	_, err := Load(filepath.Join(t.TempDir(), "none.json"))
	var settingsErr *SettingsError
	require.True(t, errors.As(err, &settingsErr))
}

// FuzzDecode checks that no input makes decoding or validation panic.
func FuzzDecode(f *testing.F) {
	f.Add([]byte(validSettings))
	f.Add([]byte(`{"limits":{"bodyBytes":1e99},"tls":null,"listen":[]}`))
	f.Fuzz(func(_ *testing.T, raw []byte) {
		s := Default()
		if problems := Decode(raw, &s); len(problems) == 0 {
			checkCombinations(&s)
		}
	})
}
