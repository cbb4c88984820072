package httpc_test

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/gooseberryway/gooseberryway/internal/standin/httpd"
	"github.com/gooseberryway/gooseberryway/internal/state/extern"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
	"github.com/gooseberryway/gooseberryway/internal/transport/engine"
	"github.com/gooseberryway/gooseberryway/internal/transport/logsvc"
	"github.com/gooseberryway/gooseberryway/internal/transport/plain"
	"github.com/gooseberryway/gooseberryway/internal/transport/vmlist"
	"github.com/gooseberryway/gooseberryway/internal/transport/wstore"
)

// clients are the clients of one server.
type clients struct {
	plain  plain.Client
	engine engine.Client
	log    logsvc.Client
	vms    vmlist.Client
	store  wstore.Client
	url    string
}

func newClients(url string) *clients {
	return &clients{url: url, log: logsvc.Client{BaseURL: url}, vms: vmlist.Client{BaseURL: url}, store: wstore.Client{BaseURL: url}}
}

func (c *clients) close() {
	_, _, _, _, _ = c.plain.Close(), c.engine.Close(), c.log.Close(), c.vms.Close(), c.store.Close()
}

// Pick implements plain.Picker.
func (c *clients) Pick(_ context.Context, tried []ident.UpstreamID) (plain.Target, error) {
	if len(tried) > 0 {
		return plain.Target{}, io.EOF
	}
	return plain.Target{Upstream: "b1", BaseURL: c.url}, nil
}

func (c *clients) callPlain(ctx context.Context) (any, error) {
	resp, err := c.plain.Do(ctx, &plain.Request{ID: "r1", Method: http.MethodPost, Path: "/", Body: strings.NewReader("x"), ContentLength: 1}, c)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return string(body), err
}

func (c *clients) complete(ctx context.Context) (any, error) {
	s, err := c.engine.Complete(ctx, "e1", c.url, extern.EngineRequest{Request: "r1", Model: "m", MaxTokens: 2})
	if err != nil {
		return nil, err
	}
	defer s.Close()
	for text := ""; ; {
		event, err := s.Next()
		if err != nil {
			return nil, err
		}
		switch event := event.(type) {
		case *extern.EngineChunk:
			text += event.Text
		case *extern.EngineDone:
			return text, nil
		}
	}
}

func (c *clients) order(ctx context.Context) (any, error) {
	return "", c.engine.Order(ctx, c.url, extern.EngineOrder{Kind: "load"})
}

func (c *clients) append(ctx context.Context) (any, error) {
	return c.log.Append(ctx, extern.StreamControl, []byte("x"))
}

func (c *clients) read(ctx context.Context) (any, error) {
	return c.log.Read(ctx, extern.StreamControl, 1, 10)
}

func (c *clients) listVMs(ctx context.Context) (any, error) { return c.vms.List(ctx) }

func (c *clients) stat(ctx context.Context) (any, error) { return c.store.Stat(ctx, "v1") }

// Guards against part of an answer that is taken for the whole one on the roads of `serve`: a call fails, or has the whole result
// although the end of the framing is missing.
func TestAnswerThatIsCutIsNoAnswer(t *testing.T) {
	chunk := `data: {"id":"r1","choices":[{"index":0,"text":"a"}],"tokenIndex":0,"tokenCount":1}` + "\n\n"
	done := `data: {"id":"r1","choices":[{"index":0,"finish_reason":"stop"}],"usage":{"completion_tokens":1}}` + "\n\ndata: [DONE]\n\n"
	for name, c := range map[string]struct {
		body string
		call func(*clients, context.Context) (any, error)
		// unbounded says that the body may be of any length.
		unbounded bool
	}{
		"plain service": {body: "an answer", call: (*clients).callPlain, unbounded: true},
		"completion":    {body: chunk + done, call: (*clients).complete},
		"order":         {body: "{}", call: (*clients).order},
		"log append":    {body: `{"offset":12}`, call: (*clients).append},
		"log read":      {body: `{"first":1,"tail":1,"entries":[{"offset":1,"payload":"YQ=="}]}`, call: (*clients).read},
		"VM list":       {body: `{"vms":[{"id":"vm1"}]}`, call: (*clients).listVMs},
		"weight store":  {body: `{"name":"m","bytes":12}`, call: (*clients).stat},
	} {
		t.Run(name, func(t *testing.T) {
			answer := ""
			server := httptest.NewServer(&httpd.Raw{Answer: func(*http.Request, bool) (string, bool) { return answer, false }})
			defer server.Close()
			try := func(text string) (any, error) {
				answer = text
				clients := newClients(server.URL)
				defer clients.close()
				return c.call(clients, t.Context())
			}
			for _, r := range httpd.RawResponses("200 OK", c.body) {
				whole, err := try(r.Text)
				require.NoError(t, err, r.Framing)
				check := func(n int, part string) {
					got, err := try(part)
					if err == nil {
						require.GreaterOrEqual(t, n, r.HeadBytes, "%s: %q", r.Framing, part)
						require.Equal(t, whole, got, "%s: %q", r.Framing, part)
					}
					up, ok := errors.AsType[*extern.UpstreamError](err)
					require.False(t, ok && up.NotRun, "%s: %q", r.Framing, part)
				}
				for n, part := range r.Parts() {
					check(n, part)
				}
				for n, part := range r.BodyParts() {
					if !c.unbounded {
						check(n, part)
					}
				}
			}
		})
	}
}
