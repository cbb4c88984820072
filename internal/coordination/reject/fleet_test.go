package reject

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/gooseberryway/gooseberryway/internal/coordination/fleet"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
	"github.com/gooseberryway/gooseberryway/internal/state/rhash"
	"github.com/gooseberryway/gooseberryway/internal/state/view"
)

const (
	settleTime  = 3 * time.Second
	simTime     = 30 * time.Second
	simStep     = 10 * time.Millisecond
	serviceTime = 500 * time.Millisecond
	// transferTime is the time from sending a request to its rejection.
	transferTime = 20 * time.Millisecond
	// allowedFalls is the users' bound for one upstream.
	allowedFalls = 2
)

// simFleet is a fleet of daemons before one upstream that runs room requests and rejects others.
type simFleet struct {
	rng       *rand.Rand
	upstream  *view.Upstream
	perSecond float64
	room      int
	tables    []*Table
	nodes     []rhash.Node
	// own and reported are each daemon's requests at the upstream, now and at its last heartbeat.
	own, reported []int
	// unanswered are each daemon's risky requests on their way.
	unanswered []int
	events     map[time.Time][]func()
	// running is the number of requests that the upstream runs.
	running    int
	rejections []time.Time
	served     int
}

func newSimFleet(daemons, slots, room int, perSecond float64) *simFleet {
	f := &simFleet{
		rng: rand.New(rand.NewPCG(1, 7)), perSecond: perSecond, room: room, events: map[time.Time][]func(){},
		upstream: &view.Upstream{ID: "e", Incarnation: 1, Slots: slots},
		own:      make([]int, daemons), reported: make([]int, daemons), unanswered: make([]int, daemons),
	}
	for i := range daemons {
		f.nodes = append(f.nodes, rhash.Node{ID: ident.DaemonID(fmt.Sprintf("d%03d", i)), FailureDomain: ident.FailureDomain(fmt.Sprint(i % 4))})
		f.tables = append(f.tables, &Table{Self: f.nodes[i].ID})
	}
	return f
}

func sum(list []int) int {
	n := 0
	for _, v := range list {
		n += v
	}
	return n
}

// beat sends the heartbeat of daemon i to all others, some of which don't get it.
func (f *simFleet) beat(i int) {
	f.tables[i].SetMembers(f.nodes)
	f.reported[i] = f.own[i]
	news := f.tables[i].News()
	for j, t := range f.tables {
		for _, n := range news {
			if i != j && f.rng.Float64() > 0.03 {
				t.ApplyNews(f.upstream, n)
			}
		}
	}
}

// request lets daemon i send a request to the upstream if the table allows that.
func (f *simFleet) request(i int) {
	began, t := time.Now(), f.tables[i]
	a := t.Admit(f.upstream, Load{Own: f.own[i], Unanswered: f.unanswered[i], Total: sum(f.reported) - f.reported[i] + f.own[i]})
	if a.Wait > 0 {
		return
	}
	f.own[i]++
	if a.Risky {
		f.unanswered[i]++
	}
	f.after(transferTime, func() {
		f.tables[i].Observe(f.upstream, began, &view.RejectionLimit{PerSecond: f.perSecond})
		if a.Risky {
			f.unanswered[i]--
		}
		if f.running >= f.room {
			f.rejections = append(f.rejections, time.Now())
			f.own[i]--
			t.Reject(f.upstream, f.own[i])
			return
		}
		f.running++
		f.after(serviceTime, func() {
			f.running--
			f.own[i]--
			f.served++
		})
	})
}

func (f *simFleet) after(d time.Duration, do func()) {
	at := time.Now().Add(d)
	f.events[at] = append(f.events[at], do)
}

func (f *simFleet) run(d time.Duration) {
	period := fleet.HeartbeatPeriod(len(f.tables))
	beatAt := make([]time.Time, len(f.tables))
	perStep := 2 * float64(f.upstream.Slots) / serviceTime.Seconds() * simStep.Seconds()
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(simStep) {
		now := time.Now()
		for _, do := range f.events[now] {
			do()
		}
		delete(f.events, now)
		for i := range f.tables {
			if now.Sub(beatAt[i]) >= period {
				beatAt[i] = now
				f.beat(i)
			}
		}
		for range int(perStep + f.rng.Float64()) {
			f.request(f.rng.IntN(len(f.tables)))
		}
	}
}

// falls returns how often the upstream has fallen over: its rejections within a second are counted anew after each.
func (f *simFleet) falls(from time.Time) int {
	n := 0
	var recent []time.Time
	for _, at := range f.rejections {
		if at.Before(from) {
			continue
		}
		recent = append(recent, at)
		for at.Sub(recent[0]) >= time.Second {
			recent = recent[1:]
		}
		if float64(len(recent)) > f.perSecond {
			n++
			recent = nil
		}
	}
	return n
}

// Guards against daemons of which each keeps to a rejection limit, but not all together, and against an upstream that is
// left idle.
func TestRejectionsStayWithinLimitOverAllDaemons(t *testing.T) {
	for _, daemons := range []int{1, 4, 8, 30} {
		for _, perSecond := range []float64{0, 1, 4, 12} {
			for _, room := range []int{24, 12} {
				if perSecond == 0 && room < 24 {
					// Only a fall shows that there is less room.
					continue
				}
				t.Run(fmt.Sprintf("%d daemons, %g a second, room for %d of 24", daemons, perSecond, room), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) {
						f := newSimFleet(daemons, 24, room, perSecond)
						f.run(settleTime)
						from := time.Now()
						f.served = 0
						f.run(simTime)
						t.Logf("%d rejections, %d falls, %d served", len(f.rejections), f.falls(from), f.served)
						require.LessOrEqual(t, f.falls(from), allowedFalls)
						capacity := float64(room) * simTime.Seconds() / serviceTime.Seconds()
						require.Greater(t, float64(f.served), capacity/2)
					})
				})
			}
		}
	}
}
