package intake

import (
	"bytes"
	"errors"
	"io"
	"testing"
	"testing/iotest"

	"github.com/stretchr/testify/require"

	"github.com/gooseberryway/gooseberryway/internal/state/memory"
)

// request returns the holds of a request on a connection of the gate.
func request(t *testing.T, g *Gate) *holds {
	t.Helper()
	c, _ := pipeConn(t, g)
	return newHolds(c)
}

func TestBodiesAreReadWhole(t *testing.T) {
	const limit = 100 << 10
	for _, n := range []int{0, 1, firstBodyBytes - 1, firstBodyBytes, firstBodyBytes + 1, 3 * firstBodyBytes, limit, limit + 1} {
		want := bytes.Repeat([]byte("x"), n)
		for _, length := range []int64{int64(n), -1} {
			g := &Gate{}
			h := request(t, g)
			body, err := h.read(iotest.HalfReader(bytes.NewReader(want)), length, limit, 1)
			require.NoError(t, err)
			require.Equal(t, n, len(body))
			require.Equal(t, g.Account().Held(memory.Bodies), h.bodies.Bytes())
			require.LessOrEqual(t, h.bodies.Bytes(), memory.Bytes(max(2*n, firstBodyBytes)))
			h.release()
			require.Zero(t, g.Account().Held(memory.Bodies))
		}
	}
	h := request(t, &Gate{})
	_, err := h.read(bytes.NewReader(nil), 5, limit, 1)
	require.ErrorIs(t, err, io.ErrUnexpectedEOF)
	broken := errors.New("reset")
	_, err = h.read(iotest.ErrReader(broken), -1, limit, 1)
	require.ErrorIs(t, err, broken)
}

// Guards against a body in chunks that breaks off and is taken for a whole one.
func TestBodyThatBreaksOffIsNotWhole(t *testing.T) {
	h := request(t, &Gate{})
	_, err := h.read(io.MultiReader(bytes.NewReader([]byte("part")), iotest.ErrReader(io.ErrUnexpectedEOF)), -1, 100<<10, 1)
	require.ErrorIs(t, err, io.ErrUnexpectedEOF)
}

// Guards against large bodies that leave no memory for small ones.
func TestLargeBodiesLeaveRoomForSmallOnes(t *testing.T) {
	const mebibyte = 1 << 20
	g := &Gate{MemoryBytes: 40 * mebibyte}
	large := 0
	for {
		if _, err := request(t, g).read(bytes.NewReader(make([]byte, mebibyte)), mebibyte, mebibyte, 1); err != nil {
			var noMemory *NoMemoryError
			require.ErrorAs(t, err, &noMemory)
			break
		}
		large++
	}
	require.Equal(t, 6, large)
	_, err := request(t, g).read(bytes.NewReader(make([]byte, 1000)), 1000, mebibyte, 1)
	require.NoError(t, err)
	require.LessOrEqual(t, g.Account().Held(memory.Bodies), g.Account().Budget(memory.Bodies))
}
