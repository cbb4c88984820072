//go:build review

package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	deadlyPart = "dead0001"
	// maxLate is how many requests with a part that crashes workers may reach workers once the window after the fifth crash is over.
	maxLate = 3
)

// playBurst sends requests with a part that crashes workers several at a time, as a job that submits its prompts together does.
func playBurst(dir string, rec *record, trouble bool) (broken bool, err error) {
	f, err := newFleet(dir, rec, 3, manifest())
	if err != nil {
		return false, err
	}
	defer f.stop()
	for range 12 {
		w := &worker{
			service: "lm-pool", gap: 10 * time.Millisecond, events: 40, backAfter: 2500 * time.Millisecond,
			crashesOn: func(r *http.Request, _ string) bool { return trouble && hasPart(r, deadlyPart) },
		}
		if err := f.addWorker(w); err != nil {
			return false, err
		}
	}
	if err := f.start(); err != nil {
		return false, err
	}
	c := newCaller(rec)
	var wg sync.WaitGroup
	begin, length := time.Now(), 22*time.Second
	isDeadly := map[string]bool{}
	sound, served := 0, 0
	var mu sync.Mutex
	// Sound requests, which can't be resumed, share the other parts.
	wg.Go(func() {
		for i := 0; time.Since(begin) < length; i++ {
			time.Sleep(25 * time.Millisecond)
			wg.Go(func() {
				a := c.send(f.daemons[i%3], &request{
					id: newID(), method: http.MethodPost, path: "/draft/n", deadline: 4 * time.Second, body: fmt.Sprintf("sound %d", i),
					prompt: fmt.Sprintf("0a%02d:1200,0b%02d:1320,0c%02d:3780,%08x:2890", i%4, i%8, i%24, 0x10000+i),
				})
				mu.Lock()
				defer mu.Unlock()
				sound++
				if a.status == http.StatusOK && a.whole {
					served++
				} else {
					rec.logf("sound request sent at %.3f was lost: status %d, whole %v", a.sentAt.Sub(rec.start).Seconds(), a.status, a.whole)
				}
			})
		}
	})
	n := 0
	for k := range 5 {
		time.Sleep(time.Until(begin.Add(2*time.Second + time.Duration(k)*4*time.Second)))
		rec.logf("burst %d", k+1)
		for i := range 6 {
			n++
			q := &request{
				id: newID(), method: http.MethodPost, path: "/note/n", deadline: 12 * time.Second, body: fmt.Sprintf("deadly %d", n),
				prompt: fmt.Sprintf("0a%02d:1200,%s:1320,0c%02d:3780,%08x:2890", n%4, deadlyPart, (n*5)%24, 0x20000+n),
			}
			isDeadly[q.id] = true
			wg.Go(func() { c.send(f.daemons[i%3], q) })
		}
	}
	wg.Wait()
	return judgeBurst(f, rec, isDeadly, sound, served, trouble)
}

// judgeBurst counts the requests with the part that reached workers later than the window after the fifth crash.
func judgeBurst(f *fleet, rec *record, isDeadly map[string]bool, sound, served int, trouble bool) (bool, error) {
	crashes, arrivals := f.crashesUnder(isDeadly)
	rec.logf("sound requests: %d, answered whole: %d; requests with the part: %d, arrived at workers: %d; crashes: %d",
		sound, served, len(isDeadly), len(arrivals), len(crashes))
	for _, d := range f.daemons {
		if d.hasEnded() {
			return false, fmt.Errorf("%s has ended", d.name)
		}
	}
	if !trouble {
		if served < sound {
			return false, fmt.Errorf("%d of %d requests were answered without the disruption", served, sound)
		}
		return false, nil
	}
	if len(crashes) < 5 {
		return false, nil
	}
	late := 0
	for _, a := range arrivals {
		if a.at.After(crashes[4].Add(stabilityWindow)) {
			late++
			rec.logf("request %s reached worker %s %.1f s after the fifth crash", a.id, a.worker, a.at.Sub(crashes[4]).Seconds())
		}
	}
	rec.logf("requests with the part that reached workers later than 3 s after the fifth crash: %d, allowed: %d", late, maxLate)
	return late > maxLate, nil
}

// crashesUnder returns when workers crashed, in the order of time, and the arrivals of the given requests.
func (f *fleet) crashesUnder(requests map[string]bool) (crashes []time.Time, arrivals []arrival) {
	for _, w := range f.workers {
		w.mu.Lock()
		crashes = append(crashes, w.crashes...)
		for _, a := range w.arrivals {
			if requests[a.id] {
				arrivals = append(arrivals, a)
			}
		}
		w.mu.Unlock()
	}
	sortTimes(crashes)
	return crashes, arrivals
}
