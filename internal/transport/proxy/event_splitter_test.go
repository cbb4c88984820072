package proxy

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestSplitterReturnsOnlyCompleteEvents(t *testing.T) {
	var s eventSplitter
	require.Empty(t, s.add([]byte("id: 1\nda")))
	require.True(t, s.hasPartialEvent())
	require.Equal(t, "id: 1\ndata: a\n\n", string(s.add([]byte("ta: a\n\nid: 2\nd"))))
	require.Equal(t, "1", s.lastID)
	require.Equal(t, "id: 2\ndata\n\n", string(s.add([]byte("ata\n\n"))))
	require.Equal(t, "2", s.lastID)
	require.False(t, s.hasPartialEvent())
}

func FuzzSplitterLosesNothing(f *testing.F) {
	f.Add("id: 1\ndata: x\n\nid: 2\n", uint8(3))
	f.Fuzz(func(t *testing.T, stream string, size uint8) {
		var s eventSplitter
		var out strings.Builder
		step := int(size) + 1
		for rest := stream; rest != ""; {
			n := min(step, len(rest))
			out.Write(s.add([]byte(rest[:n])))
			rest = rest[n:]
		}
		require.Equal(t, stream, out.String()+string(s.pending))
		require.True(t, out.Len() == 0 || strings.HasSuffix(out.String(), "\n\n"))
	})
}
