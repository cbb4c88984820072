package view

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestOfCreatesOneValuePerService(t *testing.T) {
	withoutNew := &PerService[int]{}
	require.Same(t, withoutNew.Of("a"), withoutNew.Of("a"))
	require.NotSame(t, withoutNew.Of("a"), withoutNew.Of("b"))
	created := 0
	withNew := &PerService[int]{New: func() *int { created++; n := 10 * created; return &n }}
	require.Equal(t, 10, *withNew.Of("a"))
	require.Equal(t, 20, *withNew.Of("b"))
	require.Equal(t, 10, *withNew.Of("a"))
	require.Equal(t, 2, created)
}
