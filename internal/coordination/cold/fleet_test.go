package cold

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/gooseberryway/gooseberryway/internal/state/ident"
	"github.com/gooseberryway/gooseberryway/internal/state/rhash"
	"github.com/gooseberryway/gooseberryway/internal/state/view"
)

// The bound of the users: within any second, 10 x 1.5 + 5 requests. simUsed is the part of it that a zone's return at twice
// the load has to use.
const (
	simRate, simOverage, simSlack = 10.0, 1.5, 5.0
	simBound                      = 20
	simUsed                       = 0.5
	simStep                       = 10 * time.Millisecond
	simHeartbeat                  = 400 * time.Millisecond
	// simNewsDelay and simSendDelay are the longest times until a daemon knows of a registration, and until a request
	// arrives.
	simNewsDelay = 600 * time.Millisecond
	simSendDelay = 80 * time.Millisecond
	simZones     = 4
)

// simDaemon is a daemon with its own belief of which daemons are active.
type simDaemon struct {
	table     *Table
	node      rhash.Node
	startedAt time.Time
	knowsAt   time.Time
	beatAt    time.Time
	// silentUntil is the end of a time in which it hears nobody outside its zone and is not heard there, frozenUntil that of a
	// freeze.
	silentUntil, frozenUntil time.Time
	// deferred are the choices that the freeze has kept from being sent.
	deferred []*view.Upstream
}

// simFleet is a fleet before a zone of upstreams that are cold.
type simFleet struct {
	rng      *rand.Rand
	daemons  []*simDaemon
	active   int
	coldFor  time.Duration
	returned time.Time
	byID     map[ident.UpstreamID]*view.Upstream
	arrivals map[ident.UpstreamID][]time.Time
}

func newSimFleet(total, active, upstreams int, coldFor time.Duration) *simFleet {
	f := &simFleet{
		rng: rand.New(rand.NewPCG(1, 49)), active: active, coldFor: coldFor, byID: map[ident.UpstreamID]*view.Upstream{},
		arrivals: map[ident.UpstreamID][]time.Time{},
	}
	for i := range total {
		f.daemons = append(f.daemons, f.newDaemon(i, time.Now().Add(-time.Minute)))
	}
	for i := range upstreams {
		f.add(fmt.Sprintf("e%02d", i))
	}
	return f
}

func (f *simFleet) add(id string) {
	u := &view.Upstream{ID: ident.UpstreamID(id), Incarnation: 1, Service: "s", ColdFor: f.coldFor, ColdStated: true}
	f.byID[u.ID] = u
}

func (f *simFleet) newDaemon(i int, startedAt time.Time) *simDaemon {
	id := ident.DaemonID(fmt.Sprintf("d%03d", i))
	d := &simDaemon{
		node: rhash.Node{ID: id, FailureDomain: ident.FailureDomain(fmt.Sprint(i % simZones))}, startedAt: startedAt,
		table: &Table{Self: id, Snapshots: &view.Snapshots{}, Overage: simOverage, Slack: simSlack},
	}
	d.table.Snapshots.SetConfig(&view.Config{Version: 1, Services: map[view.ServiceID]*view.Service{
		"s": {ID: "s", ColdStart: f.coldFor, ColdRate: simRate},
	}})
	return d
}

// hears reports whether a hears b now.
func (f *simFleet) hears(a, b *simDaemon, now time.Time) bool {
	parted := now.Before(a.silentUntil) != now.Before(b.silentUntil)
	return !parted && !now.Before(b.frozenUntil)
}

// beat lets a daemon judge who is active, from what it has heard up to a heartbeat ago.
func (f *simFleet) beat(d *simDaemon, now time.Time) {
	d.beatAt = now.Add(time.Duration(f.rng.Int64N(int64(simHeartbeat))))
	if now.Sub(d.startedAt) < time.Second {
		d.table.SetMembers(nil, false)
		return
	}
	var active []rhash.Node
	heard := 0
	for i, p := range f.daemons {
		if f.hears(d, p, now) {
			heard++
			if i < f.active {
				active = append(active, p.node)
			}
		}
	}
	d.table.SetMembers(active, 2*heard > len(f.daemons))
}

// returnCold registers the upstreams, of which each daemon hears in its own time.
func (f *simFleet) returnCold() {
	f.returned = time.Now()
	for _, d := range f.daemons {
		d.knowsAt = f.returned.Add(time.Duration(f.rng.Int64N(int64(simNewsDelay))))
	}
}

func (d *simDaemon) learn(byID map[ident.UpstreamID]*view.Upstream, now time.Time) {
	seen := map[ident.UpstreamID]*view.Upstream{}
	for id, u := range byID {
		registered := *u
		registered.SeenAt = now
		seen[id] = &registered
	}
	d.table.Snapshots.SetUpstreams(view.NewUpstreams(seen, 1))
	d.table.ApplyList()
	d.knowsAt = time.Time{}
}

// send sends a request to the upstream, which arrives later.
func (f *simFleet) send(d *simDaemon, u *view.Upstream, now time.Time) {
	d.table.Begin(u, true)
	f.arrivals[u.ID] = append(f.arrivals[u.ID], now.Add(time.Duration(f.rng.Int64N(int64(simSendDelay)))))
}

// run plays the fleet for a time, with a number of requests a second for the upstreams in all.
func (f *simFleet) run(length time.Duration, demand float64, disturb func(now time.Time)) {
	for end := time.Now().Add(length); time.Now().Before(end); time.Sleep(simStep) {
		now := time.Now()
		if disturb != nil {
			disturb(now)
		}
		for _, d := range f.daemons {
			if now.Before(d.frozenUntil) {
				continue
			}
			for _, u := range d.deferred {
				f.send(d, u, now)
			}
			d.deferred = nil
			if !now.Before(d.beatAt) {
				f.beat(d, now)
			}
			if !d.knowsAt.IsZero() && !now.Before(d.knowsAt) {
				d.learn(f.byID, now)
			}
		}
		for range int(demand*simStep.Seconds() + f.rng.Float64()) {
			f.request(f.daemons[f.rng.IntN(f.active)], now)
		}
	}
}

// request lets a daemon send a request to any upstream that takes it.
func (f *simFleet) request(d *simDaemon, now time.Time) {
	listed := d.table.Snapshots.Upstreams().ByID
	ids := make([]string, 0, len(listed))
	for id := range listed {
		ids = append(ids, string(id))
	}
	slices.Sort(ids)
	f.rng.Shuffle(len(ids), func(i, j int) { ids[i], ids[j] = ids[j], ids[i] })
	for _, id := range ids {
		u := listed[ident.UpstreamID(id)]
		if ok, charged := d.table.Take(u); !ok || !charged {
			continue
		}
		if now.Before(d.frozenUntil) {
			d.deferred = append(d.deferred, u)
			return
		}
		f.send(d, u, now)
		return
	}
}

// mostInSecond returns the largest number of requests that any upstream got within a second.
func (f *simFleet) mostInSecond() int {
	most := 0
	for _, at := range f.arrivals {
		slices.SortFunc(at, time.Time.Compare)
		for i := range at {
			n := 0
			for n < len(at)-i && at[i+n].Sub(at[i]) <= time.Second {
				n++
			}
			most = max(most, n)
		}
	}
	return most
}

func (f *simFleet) total() int {
	n := 0
	for _, at := range f.arrivals {
		n += len(at)
	}
	return n
}

// Guards against a zone that returns cold and gets more than it bears from all daemons together, or much less.
func TestColdZoneGetsItsBoundAtTwiceTheLoad(t *testing.T) {
	const upstreams, demand = 15, 2 * 420.0
	for _, active := range []int{6, 30, 85} {
		t.Run(fmt.Sprint(active, " active of 85"), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				f := newSimFleet(85, active, upstreams, 3*time.Second)
				f.run(5*time.Second, 0, nil)
				f.returnCold()
				f.run(f.coldFor, demand, nil)
				require.LessOrEqual(t, f.mostInSecond(), simBound)
				allowed := simBound * upstreams * (f.coldFor - simNewsDelay).Seconds()
				require.GreaterOrEqual(t, float64(f.total()), simUsed*allowed)
			})
		})
	}
}

// Guards against daemons that take over the slots of others which freeze, fail, are cut off, restart or become active.
func TestBoundHoldsWhileDaemonsComeAndGo(t *testing.T) {
	const active, upstreams, demand = 40, 6, 600.0
	for name, disturb := range map[string]func(f *simFleet, i int, now time.Time){
		"freeze": func(f *simFleet, i int, now time.Time) { f.daemons[i].frozenUntil = now.Add(3 * time.Second) },
		"restart": func(f *simFleet, i int, now time.Time) {
			f.daemons[i] = f.newDaemon(i, now)
			f.daemons[i].learn(f.byID, now)
		},
		"more become active": func(f *simFleet, _ int, _ time.Time) { f.active = min(f.active+5, len(f.daemons)) },
		"fewer are active":   func(f *simFleet, _ int, _ time.Time) { f.active = max(f.active-5, 10) },
		"zone cut off": func(f *simFleet, i int, now time.Time) {
			for j, d := range f.daemons {
				if i == 0 && j%simZones == 0 {
					d.silentUntil = now.Add(2 * memberMemory)
				}
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				f := newSimFleet(85, active, upstreams, time.Hour)
				f.run(5*time.Second, 0, nil)
				f.returnCold()
				f.run(time.Second, demand, nil)
				next, i := time.Now(), 0
				f.run(35*time.Second, demand, func(now time.Time) {
					if !now.Before(next) && i < 12 {
						disturb(f, i, now)
						next, i = now.Add(2*time.Second), i+1
					}
				})
				require.LessOrEqual(t, f.mostInSecond(), simBound)
				require.GreaterOrEqual(t, float64(f.total()), 0.3*simBound*upstreams*36, "the upstreams are not left alone")
			})
		})
	}
}
