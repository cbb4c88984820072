//go:build review

package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// answered is what a caller got, with the daemon that it asked.
type answered struct {
	id     string
	daemon *daemon
	*answer
}

// playLeaving has a worker leave while the store is down and one daemon is partitioned from all workers, so that its requests run through
// peers.
func playLeaving(dir string, rec *record, trouble bool) (broken bool, err error) {
	f, err := newFleet(dir, rec, 3, manifest())
	if err != nil {
		return false, err
	}
	defer f.stop()
	for range 4 {
		if err := f.addWorker(&worker{service: "lm-pool", gap: 20 * time.Millisecond, events: 10}); err != nil {
			return false, err
		}
	}
	if err := f.start(); err != nil {
		return false, err
	}
	c := newCaller(rec)
	var wg sync.WaitGroup
	var mu sync.Mutex
	var all []answered
	begin, length := time.Now(), 11*time.Second
	wg.Go(func() {
		for i := 0; time.Since(begin) < length; i++ {
			time.Sleep(25 * time.Millisecond)
			wg.Go(func() {
				id, d := newID(), f.daemons[i%3]
				a := c.send(d, &request{
					id: id, method: http.MethodPost, path: "/note/n", deadline: 6 * time.Second, body: fmt.Sprintf("note %d", i),
					prompt: fmt.Sprintf("0a%02d:2520,0b%02d:3780,%08x:2890", i%4, i%40, 0x10000+i),
				})
				mu.Lock()
				defer mu.Unlock()
				all = append(all, answered{id, d, a})
			})
		}
	})
	at := func(s float64) { time.Sleep(time.Until(begin.Add(time.Duration(s * float64(time.Second))))) }
	leaver := f.workers[0]
	at(2)
	if trouble {
		f.setCut(0, true)
	}
	at(3)
	if trouble {
		f.setStore(true)
	}
	at(3.3)
	leaver.leave()
	at(6)
	if trouble {
		f.setCut(0, false)
	}
	at(7.5)
	if trouble {
		f.setStore(false)
	}
	wg.Wait()
	for _, d := range f.daemons {
		if d.hasEnded() {
			return false, fmt.Errorf("%s has ended", d.name)
		}
	}
	return judgeLeaving(f, rec, leaver, all), nil
}

// setCut cuts a daemon's paths to all workers, or heals them.
func (f *fleet) setCut(daemon int, cut bool) {
	for _, w := range f.workers {
		p := w.paths[daemon]
		if cut {
			p.close()
		} else if err := p.open(); err != nil {
			f.record.logf("path could not be healed: %v", err)
		}
	}
	f.record.logf("%s partitioned from all workers: %v", f.daemons[daemon].name, cut)
}

// judgeLeaving reports whether a request reached the leaving worker from a daemon that was sent to it later than the drain time after that
// daemon had passed on an answer which said that the worker leaves.
func judgeLeaving(f *fleet, rec *record, leaver *worker, all []answered) bool {
	toldAt := map[*daemon]time.Time{}
	sent := map[string]answered{}
	whole := 0
	for _, a := range all {
		sent[a.id] = a
		if a.whole && a.status == http.StatusOK {
			whole++
		}
		if first, ok := toldAt[a.daemon]; a.header.Get("Server-Leaving") != "" && (!ok || a.endedAt.Before(first)) {
			toldAt[a.daemon] = a.endedAt
		}
	}
	rec.logf("requests: %d, answered whole: %d", len(all), whole)
	for _, d := range f.daemons {
		if first, ok := toldAt[d]; ok {
			rec.logf("%s first passed on an answer with Server-Leaving at %.3f", d.name, first.Sub(rec.start).Seconds())
		}
	}
	late := 0
	leaver.mu.Lock()
	defer leaver.mu.Unlock()
	for _, a := range leaver.arrivals {
		q, ok := sent[a.id]
		if first, told := toldAt[q.daemon]; ok && told && q.sentAt.After(first.Add(drainTime)) {
			late++
			rec.logf("request %s, sent to %s %.3f s after that had passed on Server-Leaving, reached worker %s", a.id, q.daemon.name,
				q.sentAt.Sub(first).Seconds(), a.worker)
		}
	}
	rec.logf("requests that reached the leaving worker too late: %d, allowed: 0", late)
	return late > 0
}
