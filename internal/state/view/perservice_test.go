package view

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestThereIsOneValuePerService(t *testing.T) {
	zero := &PerService[int]{}
	require.Same(t, zero.Of("a"), zero.Of("a"))
	require.NotSame(t, zero.Of("a"), zero.Of("b"))
	made := 0
	p := &PerService[int]{New: func() *int { made++; n := 10 * made; return &n }}
	require.Equal(t, 10, *p.Of("a"))
	require.Equal(t, 20, *p.Of("b"))
	require.Equal(t, 10, *p.Of("a"))
	require.Equal(t, 2, made)
}
