package reload

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/gooseberryway/gooseberryway/internal/state/ident"
	"github.com/gooseberryway/gooseberryway/internal/state/view"
)

func engine(id string, has int64, requests int) candidate {
	return candidate{engine: &view.Upstream{ID: ident.UpstreamID(id)}, has: has, version: 9, requests: requests}
}

func TestTheOldestVersionGoesFirstThenTheLeastBusy(t *testing.T) {
	all := []candidate{engine("idle", 3, 0), engine("busy", 2, 9), engine("calm", 3, 1), engine("old", 2, 4)}
	picked := next(12, 4, out{}, all)
	var ids []string
	for _, c := range picked {
		ids = append(ids, string(c.engine.ID))
	}
	require.Equal(t, []string{"old", "busy", "idle", "calm"}, ids)
}

func TestOnlySoManyEnginesAreOutAtOnce(t *testing.T) {
	for all, loads := range map[int]int{1: 1, 2: 1, 3: 1, 8: 2, 9: 2, 12: 2, 18: 3, 60: 10, 117: 20, 140: 24} {
		require.Equal(t, loads, new(pace).atOnce(all), "%d engines", all)
	}
	two := []candidate{engine("a", 1, 0), engine("b", 1, 0)}
	require.Len(t, next(2, 1, out{}, two), 1, "one of two stays")
	require.Empty(t, next(2, 1, out{loading: 1, ending: 1, all: 1}, two), "and so until the other is back")
	require.Empty(t, next(12, 2, out{quiet: 2, all: 2}, two))
	require.Empty(t, next(12, 2, out{quiet: 1, loading: 1, all: 2}, two))
	require.Len(t, next(12, 2, out{loading: 2, ending: 1, all: 2}, two), 1, "one becomes quiet while a load ends")
	require.Empty(t, next(12, 2, out{quiet: 1, loading: 2, ending: 1, all: 3}, two))
}

func TestAnEngineLoadsWhenItIsIdleOrHasWaitedLong(t *testing.T) {
	now := time.Now()
	j := &job{since: now.Add(-100 * time.Millisecond)}
	require.True(t, mayLoad(j, 0, 0, 2, now))
	require.False(t, mayLoad(j, 1, 0, 2, now), "requests run")
	require.False(t, mayLoad(j, 0, 2, 2, now), "two load")
	require.True(t, mayLoad(&job{since: now.Add(-quietMost)}, 3, 0, 2, now))
	require.False(t, mayLoad(&job{since: now}, 0, 0, 2, now), "the other daemons have not heard of it")
}

func TestAReportThatLagsDoesNotHoldUpTheNextLoad(t *testing.T) {
	now := time.Now()
	p := &pace{expected: 1500 * time.Millisecond}
	j := &job{phase: phaseLoading, since: now.Add(-p.expected + reportLag)}
	require.True(t, j.endsWithin(0, p, now))
	require.Zero(t, countOut(map[ident.UpstreamID]*job{"a": j}, p, now).loading)
	require.False(t, j.endsWithin(0, p, now.Add(2*reportLag+time.Millisecond)), "one that outlasts its time may take any time")
	require.False(t, j.endsWithin(0, &pace{}, now), "a load whose time nobody knows counts until it is seen to end")
	j.phase = phaseQuiet
	require.False(t, j.endsWithin(0, p, now))
}

func TestALoadThatReportsSayIsUnderWayIsNotOverdue(t *testing.T) {
	now, p := time.Now(), &pace{}
	j := &job{phase: phaseLoading, since: now.Add(-2 * overdueLeast)}
	require.True(t, j.overdue(p, now))
	j.busyAt = now.Add(-reportLag)
	require.False(t, j.overdue(p, now))
	j.busyAt = time.Time{}
	require.False(t, j.overdue(&pace{expected: overdueLeast}, now), "slow loads take longer")
}

// times returns the time of a load beside others, for an installation that serves so many at full speed.
func times(load time.Duration, atOnce int) func(beside int) time.Duration {
	return func(beside int) time.Duration {
		return load*time.Duration(max(atOnce, beside))/time.Duration(atOnce) + 2*reportLag
	}
}

func TestThePaceOfLoadsIsLearnedFromThem(t *testing.T) {
	for name, c := range map[string]struct {
		engines, atOnce int
		load            time.Duration
	}{
		"savings":       {9, 2, 1300 * time.Millisecond},
		"savings grown": {140, 28, 1300 * time.Millisecond},
		"survey":        {12, 2, 570 * time.Millisecond},
		"one at a time": {12, 1, 2 * time.Second},
		"a third":       {60, 20, 3 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			p, took := &pace{}, times(c.load, c.atOnce)
			for range 40 {
				width := p.atOnce(c.engines)
				for range width {
					p.observe(took(width), width, c.engines)
				}
				p.observe(took(1), 1, c.engines)
			}
			width := p.atOnce(c.engines)
			require.GreaterOrEqual(t, width+step(c.atOnce), c.atOnce)
			require.LessOrEqual(t, took(width), time.Duration(slowedBy*float64(took(1))))
			require.InEpsilon(t, took(width), p.expected, slowedBy-1)
		})
	}
}

func TestOneLoadThatHangsDoesNotChangeThePace(t *testing.T) {
	p, took := &pace{}, times(time.Second, 2)
	for range 20 {
		p.observe(took(2), 2, 12)
	}
	width := p.atOnce(12)
	p.observe(30*time.Second, width, 12)
	require.Equal(t, took(2), p.expected)
	require.Equal(t, width, p.atOnce(12))
}

func TestTheNextHolderKnowsThePaceOfLoads(t *testing.T) {
	p, took := &pace{}, times(1300*time.Millisecond, 2)
	for range 20 {
		p.observe(took(p.atOnce(12)), p.atOnce(12), 12)
		p.observe(took(1), 1, 12)
	}
	next := &pace{}
	next.learn(Estimate{})
	require.False(t, next.known(), "the holder has seen no load")
	next.learn(p.told())
	require.Equal(t, p.expected, next.expected)
	require.Equal(t, p.atOnce(12), next.atOnce(12))
	next.observe(2*time.Second, 1, 12)
	next.learn(Estimate{LoadTime: time.Minute, Concurrency: 9})
	require.Equal(t, 2*time.Second, next.expected, "what it has seen itself counts")
	wild := &pace{}
	wild.learn(Estimate{LoadTime: time.Second, Concurrency: 1 << 30})
	require.LessOrEqual(t, wild.atOnce(12), 4)
}

// A load that another daemon ordered may end just after this one's order, and seems to have taken no time.
func TestLoadsThatSeemInstantDoNotChangeThePace(t *testing.T) {
	for _, engines := range []int{9, 12, 117} {
		p, took := &pace{}, times(time.Second, (engines+4)/5)
		for i := range 60 {
			width := p.atOnce(engines)
			if i%9 == 4 {
				p.observe(50*time.Millisecond, 1+i%width, engines)
			}
			p.observe(took(width), width, engines)
		}
		require.GreaterOrEqual(t, p.atOnce(engines), new(pace).atOnce(engines)/2)
		require.InEpsilon(t, took(p.atOnce(engines)), p.expected, 0.3)
	}
}
