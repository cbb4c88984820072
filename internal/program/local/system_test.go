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

// shared is the system of all tests of the package: three daemons, two engines and a plain service.
var shared *System

// bookings is the plain service of the system.
var bookings *plain.Service

func TestMain(m *testing.M) {
	os.Exit(runAll(m))
}

func runAll(m *testing.M) int {
	bookings = &plain.Service{Base: httpd.Base{Address: loopback}}
	if err := bookings.Start(context.Background()); err != nil {
		panic(err)
	}
	shared = &System{
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
	defer shared.Close()
	if err := shared.Start(context.Background()); err != nil {
		panic(err)
	}
	return m.Run()
}

func newClient(t *testing.T, key string) *client.Client {
	t.Helper()
	c := &client.Client{Seeds: shared.Addresses(), Key: key, Retries: 5}
	t.Cleanup(c.Close)
	return c
}

func newAdmin() *client.AdminClient {
	return &client.AdminClient{Server: shared.AdminAddresses()[0], Key: shared.OperatorKey}
}

func request(text string) *client.Request {
	return &client.Request{Model: "girth", System: "ledger", User: text, MaxTokens: 8, Seed: 7}
}

func TestAnswersAreWhole(t *testing.T) {
	c := newClient(t, shared.Keys["survey"])
	for range 20 {
		req := request("reading")
		answer, err := c.Complete(t.Context(), req)
		require.NoError(t, err)
		require.Equal(t, ExpectedText(req, answer.Version), answer.Text)
	}
}

func TestRefusals(t *testing.T) {
	cases := []struct {
		name, key, code string
		change          func(*client.Request)
	}{
		{"unknown key", "gbw-unknown", "keyInvalid", func(*client.Request) {}},
		{"unknown model", "", "modelNotFound", func(r *client.Request) { r.Model = "none" }},
		{"unknown route", "", "routeNotFound", func(r *client.Request) { r.PathPrefix = "/none" }},
		{"cost above the burst", shared.Keys["small"], "costAboveBurst", func(r *client.Request) { r.MaxTokens = 5000 }},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			key := tc.key
			if key == "" {
				key = shared.Keys["survey"]
			}
			c := newClient(t, key)
			req := request("reading")
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
