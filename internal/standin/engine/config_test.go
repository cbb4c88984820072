package engine_test

import (
	"encoding/json"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/gooseberryway/gooseberryway/internal/program/setup"
	"github.com/gooseberryway/gooseberryway/internal/standin/engine"
	"github.com/gooseberryway/gooseberryway/internal/standin/httpd"
	"github.com/gooseberryway/gooseberryway/internal/standin/kvstor"
	"github.com/gooseberryway/gooseberryway/internal/standin/logsvc"
	"github.com/gooseberryway/gooseberryway/internal/standin/plain"
	"github.com/gooseberryway/gooseberryway/internal/standin/vmlist"
	"github.com/gooseberryway/gooseberryway/internal/standin/wstore"
	"github.com/gooseberryway/gooseberryway/internal/state/extern"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
	adapter "github.com/gooseberryway/gooseberryway/internal/transport/engine"
)

// process is implemented by the settings of each stand-in.
type process interface {
	Process() httpd.Process
}

// startFromSettings decodes JSON settings as the standin command does and starts the process that they describe.
func startFromSettings(t *testing.T, into process, settings string) httpd.Process {
	t.Helper()
	require.Empty(t, setup.Decode([]byte(settings), into))
	p := into.Process()
	require.NoError(t, p.Start(t.Context()))
	t.Cleanup(func() { require.NoError(t, p.Close()) })
	return p
}

// TestProcessesRunFromSettingsAndShareStores starts each stand-in from JSON settings. Two engines share a KV cache store
// and a weight store over HTTP, as separate processes do: the second must import the blocks that the first exported.
func TestProcessesRunFromSettingsAndShareStores(t *testing.T) {
	startFromSettings(t, &logsvc.Config{}, `{"listen":"127.0.0.1:0","appendsPerSecond":300}`)
	startFromSettings(t, &vmlist.Config{}, `{"listen":"127.0.0.1:0","lagMs":10,"vms":[{"id":"d1"}]}`)
	startFromSettings(t, &plain.Config{}, `{"listen":"127.0.0.1:0"}`)
	weights := startFromSettings(t, &wstore.Config{}, `{"listen":"127.0.0.1:0","timeScale":0.01}`)
	blocks := startFromSettings(t, &kvstor.Config{}, `{"listen":"127.0.0.1:0"}`)
	commonSettings := `"model":"m","versions":["v1"],"timeScale":0.01,"exportBlocks":true,` +
		`"kvStore":"` + blocks.URL() + `","weightStore":"` + weights.URL() + `"}`
	first := startFromSettings(t, &engine.Config{}, `{"listen":"127.0.0.1:0","id":"e1",`+commonSettings)
	second := startFromSettings(t, &engine.Config{}, `{"listen":"127.0.0.1:0","id":"e2",`+commonSettings)

	c := &adapter.Client{}
	defer c.Close()
	req := extern.EngineRequest{
		Request: "r1", Organisation: "survey", Model: "m", Version: "v1", MaxTokens: 3, ImportBlocks: 4,
		Prompt: []byte(strings.Repeat("abcd", 4000)),
	}
	for _, url := range []string{first.URL(), second.URL()} {
		require.NoError(t, c.Order(t.Context(), url, extern.EngineOrder{Kind: extern.OrderLoadVersion, Version: "v2"}))
		s, err := c.Complete(t.Context(), "e", url, req)
		require.NoError(t, err)
		for event := extern.EngineEvent(nil); err == nil; {
			if _, done := event.(*extern.EngineDone); done {
				break
			}
			event, err = s.Next()
		}
		require.NoError(t, err)
		require.NoError(t, s.Close())
		require.Eventually(t, func() bool { return exportedBlocks(t, blocks.URL()) == 4 }, 30*time.Second, time.Millisecond)
	}
	require.Equal(t, ident.Tokens(4000*4/4), importedTokens(t, second.URL()))
	require.Zero(t, importedTokens(t, first.URL()))
}

// TestInvalidSettingsAreRejected covers a bad address, missing versions, a share above 1 and a misspelt key.
func TestInvalidSettingsAreRejected(t *testing.T) {
	for _, settings := range []string{
		`{"listen":"here"}`, `{"listen":"127.0.0.1:0","id":"e1","model":"m","versions":[]}`,
		`{"listen":"127.0.0.1:0","id":"e1","model":"m","versions":["v1"],"eventGaps":2}`,
		`{"listen":"127.0.0.1:0","id":"e1","model":"m","versions":["v1"],"cashBlocks":2}`,
	} {
		require.NotEmpty(t, setup.Decode([]byte(settings), &engine.Config{}), settings)
	}
}

func exportedBlocks(t *testing.T, url string) int {
	t.Helper()
	return getStats[kvstor.Stats](t, url).Exported
}

func importedTokens(t *testing.T, url string) ident.Tokens {
	t.Helper()
	return getStats[engine.Stats](t, url).ImportedTokens
}

func getStats[T any](t *testing.T, url string) T {
	t.Helper()
	resp, err := http.Get(url + "/standin/stats")
	require.NoError(t, err)
	defer resp.Body.Close()
	var value T
	require.NoError(t, json.NewDecoder(resp.Body).Decode(&value))
	return value
}
