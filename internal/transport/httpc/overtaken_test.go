package httpc

import (
	"context"
	"net/http"
	"net/http/httptest"
	"net/http/httptrace"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against an answered request that counts as not sent because another request took its connection before its response was delivered.
func TestRequestWhoseConnectionWasTakenCountsAsSent(t *testing.T) {
	for name, send := range map[string]func(*Pool, *http.Request) (*http.Response, error){"Do": (*Pool).Do, "DoHeld": (*Pool).DoHeld} {
		t.Run(name, func(t *testing.T) {
			s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) }))
			defer s.Close()
			p := &Pool{}
			defer p.Close()
			do := func(ctx context.Context, trace *httptrace.ClientTrace) error {
				req, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), http.MethodPost, s.URL, strings.NewReader("x"))
				require.NoError(t, err)
				req.GetBody = nil
				resp, err := send(p, req)
				if err == nil {
					err = resp.Body.Close()
				}
				return err
			}
			firstCtx, cancelFirst := context.WithCancel(t.Context())
			first, ended := make(chan error, 1), make(chan struct{})
			var firstErr error
			// The first response isn't delivered before this returns.
			overtake := func(error) {
				taken := make(chan struct{})
				go func() {
					_ = do(t.Context(), &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { close(taken); <-ended }})
				}()
				select {
				case <-taken:
				case <-time.After(100 * time.Millisecond):
				}
				cancelFirst()
				firstErr = <-first
				close(ended)
			}
			var once sync.Once
			go func() {
				first <- do(firstCtx, &httptrace.ClientTrace{PutIdleConn: func(err error) { once.Do(func() { overtake(err) }) }})
			}()
			<-ended
			var sendErr *SendError
			require.ErrorAs(t, firstErr, &sendErr)
			require.False(t, sendErr.NotSent, "it was answered")
		})
	}
}
