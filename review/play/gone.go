//go:build review

package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	// maxOverlap is how long a worker may still work on a request that goes on at another one.
	maxOverlap  = 400 * time.Millisecond
	goneEvents  = 60
	goneGap     = 60 * time.Millisecond
	firstStall  = 700 * time.Millisecond
	secondStall = time.Second
)

// playGone has a worker leave without a report. While it serves on, it is silent twice, for a second or so.
func playGone(dir string, rec *record, trouble bool) (broken bool, err error) {
	f, err := newFleet(dir, rec, 3, manifest())
	if err != nil {
		return false, err
	}
	defer f.stop()
	for range 4 {
		if err := f.addWorker(&worker{service: "lm-pool", gap: goneGap, events: goneEvents}); err != nil {
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
	begin, length := time.Now(), 9*time.Second
	wg.Go(func() {
		for i := 0; time.Since(begin) < length; i++ {
			time.Sleep(25 * time.Millisecond)
			wg.Go(func() {
				id, d := newID(), f.daemons[i%3]
				a := c.send(d, &request{
					id: id, method: http.MethodPost, path: "/note/n", deadline: 12 * time.Second, body: fmt.Sprintf("note %d", i),
					prompt: fmt.Sprintf("0a%02d:120,0b%02d:80,%08x:630", i%20, i%40, 0x10000+i),
				})
				mu.Lock()
				defer mu.Unlock()
				all = append(all, answered{id, d, a})
			})
		}
	})
	at := func(s float64) { time.Sleep(time.Until(begin.Add(time.Duration(s * float64(time.Second))))) }
	w := f.workers[0]
	at(4.5)
	if trouble {
		w.leaveUnreported()
	}
	at(4.8)
	w.stall(firstStall)
	at(6)
	w.stall(secondStall)
	wg.Wait()
	for _, d := range f.daemons {
		if d.hasEnded() {
			return false, fmt.Errorf("%s has ended", d.name)
		}
	}
	return judgeGone(f, rec, all), nil
}

// judgeGone reports whether a request went on at a worker while the one before still worked on it more than 400 ms later.
func judgeGone(f *fleet, rec *record, all []answered) bool {
	whole := 0
	for _, a := range all {
		if a.status == http.StatusOK && a.whole {
			whole++
		}
	}
	runs := map[string][]streamRun{}
	for _, w := range f.workers {
		w.mu.Lock()
		for _, r := range w.runs {
			runs[r.id] = append(runs[r.id], *r)
		}
		w.mu.Unlock()
	}
	since := func(t time.Time) float64 { return t.Sub(rec.start).Seconds() }
	twice := 0
	delete(runs, "")
	for id, list := range runs {
		for i := range list {
			for j := range list {
				earlier, later := list[i], list[j]
				if i == j || !earlier.start.Before(later.start) {
					continue
				}
				rec.logf("request %s ran at %s from %.3f to %.3f, and at %s from %.3f", id, earlier.worker, since(earlier.start), since(earlier.end),
					later.worker, since(later.start))
				if earlier.end.IsZero() || earlier.end.After(later.start.Add(maxOverlap)) {
					twice++
				}
			}
		}
	}
	rec.logf("requests: %d, answered whole: %d", len(all), whole)
	rec.logf("requests that went on elsewhere while the worker before still worked on them 400 ms later: %d, allowed: 0", twice)
	return twice > 0
}
