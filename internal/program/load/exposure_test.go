package load

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

// Guards against exposures that count attempts outside the move, or attempts that were not sent to a faulty version.
func TestExposureCountsRequestsToBadVersion(t *testing.T) {
	start := time.Unix(100, 0)
	at := func(s int) time.Time { return start.Add(time.Duration(s) * time.Second) }
	d := &dispatchLog{}
	for s := -5; s < 50; s++ {
		served := ident.VersionID(initialVersion)
		if s >= 2 && s <= 4 {
			served = nextVersion
		}
		d.list = append(d.list, dispatch{at: at(s), version: served, route: auditRoute})
	}
	cases := map[string]struct {
		move MoveKind
		want exposure
	}{
		"no fault":         {MoveGood, exposure{}},
		"fault from start": {MoveBadNow, exposure{BadRequests: 3, BadShare: 0.1, BadShareUntilEnd: 0.3, FaultToLastRequestMs: 2000}},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			r := run{move: tc.move}
			require.Equal(t, tc.want, d.exposure(start, at(9), at(29), r.meetsFault(start)))
		})
	}
	later := run{move: MoveBadLater}
	require.Equal(t, 1, d.exposure(start, at(9), at(29), later.meetsFault(at(4))).BadRequests)
	late := run{move: MoveBadNow}
	require.InDelta(t, 0.1, d.exposure(start, at(40), at(29), late.meetsFault(start)).BadShare, 1e-9, "requests after the deadline don't count as traffic of the move")
}
