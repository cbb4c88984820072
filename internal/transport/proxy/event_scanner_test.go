package proxy

import (
	"net/http"
	"net/http/httptest"
	"regexp"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// newForwarder returns a forwarder of a resumable stream and the recorder of what the caller gets.
func newForwarder(lastID string) (*streamForwarder, *httptest.ResponseRecorder) {
	w := httptest.NewRecorder()
	f := &streamForwarder{reply: &reply{w: w, position: streamPosition{lastID: lastID}}, header: http.Header{}, resumable: true}
	f.init()
	return f, w
}

// eventEnd is the end of an event, written as the rule of the format says it: an end of line and an empty line.
var eventEnd = regexp.MustCompile(`(\r\n|\n|\r)(\r\n|\n|\r)+$`)

func TestSplitterReturnsOnlyCompleteEvents(t *testing.T) {
	for name, end := range map[string]string{"LF": "\n", "CR LF": "\r\n", "CR": "\r"} {
		t.Run(name, func(t *testing.T) {
			f, w := newForwarder("")
			lines := func(s string) string { return strings.ReplaceAll(s, "\n", end) }
			add := func(s string) string {
				w.Body.Reset()
				require.NoError(t, f.forward([]byte(lines(s))))
				return w.Body.String()
			}
			require.Empty(t, add("id: 1\nda"))
			require.True(t, f.scanner.hasPartialEvent())
			require.False(t, f.reply.begun(), "the header went out before an event")
			require.Equal(t, lines("id: 1\ndata: a\n\n"), add("ta: a\n\nid: 2\nd"))
			require.Equal(t, "1", f.reply.position.lastID)
			require.Equal(t, lines("id: 2\ndata\n\n"), add("ata\n\n"))
			require.Equal(t, "2", f.reply.position.lastID)
			require.False(t, f.scanner.hasPartialEvent())
			require.NoError(t, f.end(true))
			require.True(t, f.reply.complete)
		})
	}
}

func TestPositionAfterEvents(t *testing.T) {
	for stream, want := range map[string]streamPosition{
		"":                               {},
		": comment\n\n":                  {},
		"retry: 100\n\n":                 {},
		"data: a\n\n":                    {ambiguous: true},
		"id: 1\ndata: a\n\n":             {lastID: "1", events: 1},
		"\xef\xbb\xbfid: 1\ndata: a\n\n": {lastID: "1", events: 1},
		"id:1\n\n":                       {lastID: "1", events: 1},
		"id: 1\nid: 2\ndata: a\n\n":      {lastID: "2", events: 1, gaps: true},
		"id: 1\n\ndata: b\n\n":           {lastID: "1", events: 1, ambiguous: true},
		"id: 1\n\ndata: b\n\nid: 2\n\n":  {lastID: "2", events: 2},
		"id: 1\n\nid: 4\n\n":             {lastID: "4", events: 2, gaps: true},
		"id: 1\n\nid\n\n":                {lastID: "1", events: 1, ambiguous: true},
		"id: 1\n\nid: \x00\n\n":          {lastID: "1", events: 1, ambiguous: true},
		"id: " + strings.Repeat("1", 300) + "\n\n": {ambiguous: true},
		"id: 1\n\nid: 2\n":                         {lastID: "1", events: 1},
	} {
		t.Run(stream, func(t *testing.T) {
			f, _ := newForwarder("")
			require.NoError(t, f.forward([]byte(stream)))
			require.Equal(t, want, f.reply.position)
		})
	}
}

// FuzzSplitterLosesNothing splits a stream at random. Whatever its lines are, the caller gets whole events from its beginning, and all of it
// if the response ends as complete.
func FuzzSplitterLosesNothing(f *testing.F) {
	for _, stream := range []string{
		"id: 1\ndata: x\n\nid: 2\n", "id: 1\r\ndata: x\r\n\r\nid: 2\r\n\r\n", "id: 1\rdata: x\r\r\n\rid: 2\r\r", ": c\n\n\n\r\n\rid\n\n",
		"\xef\xbb\xbfid: 1\n\n", "\n\n\ndata", "id: 9\nid: 3\n\ndata: x\n\n", "retry: 1\n\nx\n\n", "HTTP/1.1 500 x\r\na: b\r\n\r\ntext",
	} {
		f.Add(stream, uint8(3), "", true)
		f.Add(stream, uint8(0), "2", true)
		f.Add(stream, uint8(200), "0", false)
	}
	f.Fuzz(func(t *testing.T, stream string, size uint8, lastID string, resumable bool) {
		if stream == "" || !isHeaderValue(lastID) {
			return
		}
		play := func(step int) (string, *reply) {
			fw, w := newForwarder(lastID)
			fw.resumable = resumable
			fw.init()
			for rest := stream; rest != ""; {
				n := min(step, len(rest))
				if err := fw.forward([]byte(rest[:n])); err != nil {
					return w.Body.String(), fw.reply
				}
				rest = rest[n:]
				require.Equal(t, stream[:len(stream)-len(rest)], w.Body.String()+string(fw.pending))
			}
			if fw.end(false) != nil {
				require.False(t, fw.reply.complete)
			}
			return w.Body.String(), fw.reply
		}
		out, split := play(int(size) + 1)
		require.True(t, strings.HasPrefix(stream, out))
		if split.complete {
			require.Equal(t, stream, out)
		}
		if resumable && strings.Trim(out, "\r\n") != "" {
			require.Regexp(t, eventEnd, out)
		}
		whole, unsplit := play(len(stream))
		require.Equal(t, whole, out, "the result depends on how the stream was split")
		require.Equal(t, unsplit.position, split.position)
		require.Equal(t, unsplit.complete, split.complete)
	})
}

// Guards against a stream whose bytes are kept without a bound while they are no events.
func TestEventWithoutEndIsNotKept(t *testing.T) {
	piece := []byte("data: " + strings.Repeat("x", 1000) + "\n")
	for name, c := range map[string]struct {
		resumable bool
		maxBytes  int
	}{
		"resumable": {true, maxHeldEventBytes},
		"other":     {false, maxEventBytes},
	} {
		t.Run(name, func(t *testing.T) {
			f, w := newForwarder("")
			f.resumable = c.resumable
			f.init()
			require.NoError(t, f.forward([]byte("id: 1\n\n")))
			var err error
			read := 0
			for ; err == nil && read <= 2*c.maxBytes; read += len(piece) {
				err = f.forward(piece)
				require.LessOrEqual(t, len(f.pending), c.maxBytes)
			}
			require.True(t, isEventSizeError(err), "%v", err)
			require.LessOrEqual(t, read, c.maxBytes+2*len(piece))
			require.False(t, f.reply.complete)
			require.True(t, strings.HasPrefix(w.Body.String(), "id: 1\n\n"))
			require.Equal(t, c.resumable, w.Body.Len() == len("id: 1\n\n"))
		})
	}
}
