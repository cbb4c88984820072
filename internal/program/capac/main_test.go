package main

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against sizes that are not recognised in benchmark names, metrics that are mixed up and wrong lines.
func TestRunPrintsFittedLineForEachMetric(t *testing.T) {
	in := strings.Join([]string{
		"goos: linux",
		"BenchmarkBeat/5-10   100  20 ns/op  7 B/beat",
		"BenchmarkBeat/10-10  100  30 ns/op  14 B/beat",
		"BenchmarkAsk/tokens=1/stream=true-10  5  3 allocs/op",
		"BenchmarkAsk/tokens=3/stream=true-10  5  9 allocs/op",
		"BenchmarkAsk/tokens=5/stream=true-10  5  12 allocs/op",
		"BenchmarkOne-10  1  4 ns/op",
		"PASS",
	}, "\n")
	var out strings.Builder
	require.NoError(t, run(strings.NewReader(in), &out))
	require.Equal(t, []string{
		"| Ask/tokens/stream=true | allocs/op | 1: 3, 3: 9, 5: 12 | 1.25 | 2.25 | 17 % |",
		"| Beat/N | B/beat | 5: 7, 10: 14 | 0 | 1.4 | 0 % |",
		"| Beat/N | ns/op | 5: 20, 10: 30 | 10 | 2 | 0 % |",
		"| One | ns/op | 0: 4 | 4 | 0 | 0 % |",
	}, strings.Split(strings.TrimSpace(out.String()), "\n")[2:])
}
