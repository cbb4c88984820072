package proxy

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a refusal that promises that a request hasn't run, though the attempt beside one that was rejected may have run it.
func TestRequestMayHaveRunAtUpstreamBesideSilentOne(t *testing.T) {
	for name, c := range map[string]struct {
		spare spare
		want  bool
	}{
		"no answer": {spare{sent: true}, true},
		"rejected":  {spare{sent: true, rejected: true}, false},
		"not sent":  {spare{}, false},
	} {
		t.Run(name, func(t *testing.T) {
			r := &call{}
			require.False(t, r.endSpare(&c.spare, stepRetryOther))
			require.Equal(t, c.want, r.mayHaveRun())
			require.Equal(t, c.want, r.possibleRuns() > 0)
		})
	}
}
