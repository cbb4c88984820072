package gossip

import (
	"context"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a stop that closes the connection of a peer between the end of its request and the sending of the last bytes.
func TestLastResponseArrivesWhenNodeStops(t *testing.T) {
	const tries = 200
	body := strings.Repeat("x", 1000)
	cut := 0
	for range tries {
		served := make(chan struct{})
		n := &Node{
			Address: "127.0.0.1:0", NextRound: func() Round { return Round{NextAfter: time.Minute} }, IsRequest: func(*http.Request) bool { return true },
			Requests: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				defer close(served)
				_, _ = io.WriteString(w, body)
			}),
		}
		l, err := n.Listen(t.Context())
		require.NoError(t, err)
		ctx, cancel := context.WithCancel(t.Context())
		var wg sync.WaitGroup
		wg.Go(func() { n.Run(ctx, l) })
		wg.Go(func() {
			<-served
			cancel()
		})
		if got, err := get(t.Context(), "http://"+l.Addr().String()); err != nil || got != body {
			cut++
		}
		wg.Wait()
	}
	require.Zero(t, cut, "of %d", tries)
}

func get(ctx context.Context, url string) (string, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, http.NoBody)
	if err != nil {
		return "", err
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(req)
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(resp.Body)
	return string(raw), err
}
