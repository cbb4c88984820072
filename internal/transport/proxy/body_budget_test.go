package proxy

import (
	"bytes"
	"errors"
	"io"
	"testing"
	"testing/iotest"

	"github.com/stretchr/testify/require"
)

func TestBodiesAreReadWhole(t *testing.T) {
	const limit = 100 << 10
	for _, n := range []int{0, 1, firstBodyBytes - 1, firstBodyBytes, firstBodyBytes + 1, 3 * firstBodyBytes, limit, limit + 1} {
		want := bytes.Repeat([]byte("x"), n)
		for _, length := range []int64{int64(n), -1} {
			b := &BodyBudget{}
			body, reserved, err := b.read(iotest.HalfReader(bytes.NewReader(want)), length, limit)
			require.NoError(t, err)
			require.Equal(t, n, len(body))
			require.Equal(t, b.used.Load(), reserved)
			require.LessOrEqual(t, reserved, int64(max(2*n, firstBodyBytes)))
			b.release(reserved)
			require.Zero(t, b.used.Load())
		}
	}
	b := &BodyBudget{}
	_, _, err := b.read(bytes.NewReader(nil), 5, limit)
	require.ErrorIs(t, err, io.ErrUnexpectedEOF)
	broken := errors.New("reset")
	_, _, err = b.read(iotest.ErrReader(broken), -1, limit)
	require.ErrorIs(t, err, broken)
}

// Guards against large bodies that leave no memory for small ones.
func TestLargeBodiesLeaveRoomForSmallOnes(t *testing.T) {
	const mebibyte = 1 << 20
	b := &BodyBudget{MaxBytes: 8 * mebibyte}
	large := 0
	for {
		if _, _, err := b.read(bytes.NewReader(make([]byte, mebibyte)), mebibyte, mebibyte); err != nil {
			require.ErrorIs(t, err, errBodyBudget)
			break
		}
		large++
	}
	require.Equal(t, 6, large)
	_, _, err := b.read(bytes.NewReader(make([]byte, 1000)), 1000, mebibyte)
	require.NoError(t, err)
	require.LessOrEqual(t, b.used.Load(), b.MaxBytes)
}
