package gossip

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/gooseberryway/gooseberryway/internal/protocol/wire"
	"github.com/gooseberryway/gooseberryway/internal/standin/httpd"
	"github.com/gooseberryway/gooseberryway/internal/transport/httpc"
)

// Guards against bytes that are no HTTP/1.1 and count as the records that a peer has.
func TestMalformedAnswerBringsNoRecords(t *testing.T) {
	for name, c := range map[string]struct {
		line      string
		malformed bool
	}{
		"sound":               {"", false},
		"blank in a name":     {"X Foo: 1\r\n", true},
		"folded line":         {" X: 1\r\n", true},
		"control byte":        {"X: \x01\r\n", true},
		"blank before colons": {"X : 1\r\n", true},
	} {
		t.Run(name, func(t *testing.T) {
			s := httptest.NewServer(&httpd.Raw{Answer: func(*http.Request, bool) (string, bool) {
				return "HTTP/1.1 200 OK\r\nContent-Type: application/proto\r\n" + c.line + "Content-Length: 0\r\n\r\n", false
			}})
			defer s.Close()
			_, err := (&Node{}).Fetch(t.Context(), s.Listener.Addr().String(), &wire.ChangesRequest{})
			require.Equal(t, c.malformed, httpc.IsNoResponse(err), "%v", err)
			require.Equal(t, c.malformed, err != nil)
		})
	}
}
