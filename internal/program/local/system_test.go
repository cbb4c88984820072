package local

import (
	"context"
	"os"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/gooseberryway/gooseberryway/internal/program/client"
	"github.com/gooseberryway/gooseberryway/internal/program/setup"
	"github.com/gooseberryway/gooseberryway/internal/standin/engine"
	"github.com/gooseberryway/gooseberryway/internal/standin/httpd"
	"github.com/gooseberryway/gooseberryway/internal/standin/plain"
	"github.com/gooseberryway/gooseberryway/internal/state/config"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

// testSystem is shared by the tests of the package: three daemons, two engines and a plain service.
var testSystem *System

// bookings is the plain service of the system.
var bookings *plain.Service

func TestMain(m *testing.M) {
	os.Exit(runTests(m))
}

func runTests(m *testing.M) int {
	bookings = &plain.Service{Base: httpd.Base{Address: loopbackAnyPort}}
	if err := bookings.Start(context.Background()); err != nil {
		panic(err)
	}
	testSystem = &System{
		DaemonCount:    3,
		FailureDomains: []ident.FailureDomain{"riga-1", "riga-2", "riga-3"},
		EngineCount:    2,
		EngineSettings: engine.Settings{TimeScale: 0.1},
		Model:          "girth",
		Version:        "girth-1",
		Organisations: []config.Organisation{
			{ID: "survey", Team: "alder", Rate: 1_000_000, Burst: 4_000_000},
			{ID: "small", Team: "birch", Rate: 100, Burst: 400},
		},
		Upstreams: []config.Upstream{{ID: "bookings", Kind: config.UpstreamPlain, BaseURL: bookings.URL(), FailureDomain: "riga-1"}},
		Routes: []config.Route{
			{
				ID: "bookings", Team: "alder", Kind: config.RoutePlain, PathPrefix: "/bookings",
				Upstreams: []ident.UpstreamID{"bookings"}, IdempotentMethods: []string{"GET"}, OnKeyWithdrawal: config.WithdrawalFinish,
			},
			{
				ID: "open", Team: "alder", Kind: config.RoutePlain, PathPrefix: "/open", Open: true,
				Upstreams: []ident.UpstreamID{"bookings"}, IdempotentMethods: []string{"GET"}, OnKeyWithdrawal: config.WithdrawalFinish,
			},
		},
		AdjustSettings: func(s *setup.Settings) {
			s.Drain.LocateTTLMs = 300
			s.Limits.BodyTimeoutMs = 2000
			s.Limits.HeaderTimeoutMs = 2000
			s.Limits.BodyBytes = 64 << 10
		},
	}
	defer testSystem.Close()
	if err := testSystem.Start(context.Background()); err != nil {
		panic(err)
	}
	return m.Run()
}

func newClient(t *testing.T, key string) *client.Client {
	t.Helper()
	c := &client.Client{Seeds: testSystem.Addresses(), Key: key, Retries: 5}
	t.Cleanup(c.Close)
	return c
}

func newAdmin() *client.AdminClient {
	return &client.AdminClient{Server: testSystem.AdminAddresses()[0], Key: testSystem.OperatorKey}
}

func newRequest(text string) *client.Request {
	return &client.Request{Model: "girth", System: "ledger", User: text, MaxTokens: 8, Seed: 7}
}

// Guards against completions that are truncated, duplicated or altered on their way through the daemons.
func TestCompletionsAreComplete(t *testing.T) {
	c := newClient(t, testSystem.Keys["survey"])
	for range 20 {
		req := newRequest("reading")
		answer, err := c.Complete(t.Context(), req)
		require.NoError(t, err)
		require.Equal(t, ExpectedText(req, answer.Version), answer.Text)
	}
}

// A rejected request must return the code of its cause, and that it has not run, so that callers can decide on a retry.
func TestRejectedRequestsReturnErrorCode(t *testing.T) {
	cases := []struct {
		name, key, code string
		change          func(*client.Request)
	}{
		{"unknown key", "gbw-unknown", "keyInvalid", func(*client.Request) {}},
		{"unknown model", "", "modelNotFound", func(r *client.Request) { r.Model = "none" }},
		{"unknown route", "", "routeNotFound", func(r *client.Request) { r.PathPrefix = "/none" }},
		{"cost above the burst", testSystem.Keys["small"], "costAboveBurst", func(r *client.Request) { r.MaxTokens = 5000 }},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			key := tc.key
			if key == "" {
				key = testSystem.Keys["survey"]
			}
			c := newClient(t, key)
			req := newRequest("reading")
			tc.change(req)
			_, err := c.Complete(t.Context(), req)
			if tc.code == "keyInvalid" {
				require.Error(t, err)
				return
			}
			var refusal *client.APIError
			require.ErrorAs(t, err, &refusal)
			require.Equal(t, tc.code, refusal.Detail.Code)
			require.Equal(t, "notRun", string(refusal.Detail.RunStatus))
		})
	}
}
