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

// process is a settings struct of a stand-in.
type process interface {
	Process() httpd.Process
}

// start decodes settings as the command does and starts what they describe.
func start(t *testing.T, into process, settings string) httpd.Process {
	t.Helper()
	require.Empty(t, setup.Decode([]byte(settings), into))
	p := into.Process()
	require.NoError(t, p.Start(t.Context()))
	t.Cleanup(func() { require.NoError(t, p.Close()) })
	return p
}

// TestStandinsRunFromSettings runs two engines that share the KV cache store and the weight store as processes do.
func TestStandinsRunFromSettings(t *testing.T) {
	start(t, &logsvc.Config{}, `{"listen":"127.0.0.1:0","appendsPerSecond":300}`)
	start(t, &vmlist.Config{}, `{"listen":"127.0.0.1:0","lagMs":10,"vms":[{"id":"d1"}]}`)
	start(t, &plain.Config{}, `{"listen":"127.0.0.1:0"}`)
	weights := start(t, &wstore.Config{}, `{"listen":"127.0.0.1:0","timeScale":0.01}`)
	blocks := start(t, &kvstor.Config{}, `{"listen":"127.0.0.1:0"}`)
	shared := `"model":"m","versions":["v1"],"timeScale":0.01,"exportBlocks":true,` +
		`"kvStore":"` + blocks.URL() + `","weightStore":"` + weights.URL() + `"}`
	first := start(t, &engine.Config{}, `{"listen":"127.0.0.1:0","id":"e1",`+shared)
	second := start(t, &engine.Config{}, `{"listen":"127.0.0.1:0","id":"e2",`+shared)

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
		require.Eventually(t, func() bool { return exported(t, blocks.URL()) == 4 }, 30*time.Second, time.Millisecond)
	}
	require.Equal(t, ident.Tokens(4000*4/4), imported(t, second.URL()))
	require.Zero(t, imported(t, first.URL()))
}

func TestSettingsAreChecked(t *testing.T) {
	for _, bad := range []string{
		`{"listen":"here"}`, `{"listen":"127.0.0.1:0","id":"e1","model":"m","versions":[]}`,
		`{"listen":"127.0.0.1:0","id":"e1","model":"m","versions":["v1"],"eventGaps":2}`,
		`{"listen":"127.0.0.1:0","id":"e1","model":"m","versions":["v1"],"cashBlocks":2}`,
	} {
		require.NotEmpty(t, setup.Decode([]byte(bad), &engine.Config{}), bad)
	}
}

func exported(t *testing.T, url string) int {
	t.Helper()
	return stats[kvstor.Stats](t, url).Exported
}

func imported(t *testing.T, url string) ident.Tokens {
	t.Helper()
	return stats[engine.Stats](t, url).ImportedTokens
}

func stats[T any](t *testing.T, url string) T {
	t.Helper()
	resp, err := http.Get(url + "/standin/stats")
	require.NoError(t, err)
	defer resp.Body.Close()
	var value T
	require.NoError(t, json.NewDecoder(resp.Body).Decode(&value))
	return value
}
