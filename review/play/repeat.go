//go:build review

package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	deadlyPath = "/lookup/deadly"
	// maxRetries is how many retries of a request that crashes workers may reach workers once the window after the third crash is over.
	maxRetries = 3
)

// playRepeat sends a safe request that crashes the workers that run it from several callers at the same time, again and again.
func playRepeat(dir string, rec *record, trouble bool) (broken bool, err error) {
	f, err := newFleet(dir, rec, 3, manifest())
	if err != nil {
		return false, err
	}
	defer f.stop()
	for range 12 {
		w := &worker{
			service: "install-app", work: 200 * time.Millisecond, slots: 6, backAfter: 2500 * time.Millisecond,
			crashesOn: func(r *http.Request, _ string) bool { return trouble && r.URL.Path == deadlyPath },
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
	var mu sync.Mutex
	begin, length := time.Now(), 20*time.Second
	lost, refused, sound := 0, 0, 0
	var lostAt []time.Time
	wg.Go(func() {
		for i := 0; time.Since(begin) < length; i++ {
			time.Sleep(10 * time.Millisecond)
			wg.Go(func() {
				a := c.send(f.daemons[i%3], &request{id: newID(), method: http.MethodPost, path: "/order/o", deadline: 1500 * time.Millisecond, body: fmt.Sprintf("order %d", i)})
				mu.Lock()
				defer mu.Unlock()
				sound++
				switch {
				case a.status == http.StatusServiceUnavailable || a.status == http.StatusTooManyRequests:
					refused++
				case a.status != http.StatusOK || !a.whole:
					lost++
					lostAt = append(lostAt, a.sentAt)
					rec.logf("order sent at %.3f was lost: status %d", a.sentAt.Sub(rec.start).Seconds(), a.status)
				}
			})
		}
	})
	isDeadly := map[string]bool{}
	for k := range 5 {
		time.Sleep(time.Until(begin.Add(2*time.Second + time.Duration(k)*4*time.Second)))
		rec.logf("the same request comes from six callers, time %d", k+1)
		for i := range 6 {
			q := &request{id: newID(), method: http.MethodGet, path: deadlyPath, deadline: 1500 * time.Millisecond}
			isDeadly[q.id] = true
			wg.Go(func() { c.send(f.daemons[i%3], q) })
		}
	}
	wg.Wait()
	for _, d := range f.daemons {
		if d.hasEnded() {
			return false, fmt.Errorf("%s has ended", d.name)
		}
	}
	rec.logf("orders: %d, lost: %d, refused: %d", sound, lost, refused)
	if !trouble && lost+refused > 0 {
		return false, fmt.Errorf("%d orders were lost or refused without the disruption", lost+refused)
	}
	crashes, arrivals := f.crashesUnder(isDeadly)
	rec.logf("times that the request reached workers: %d, crashes: %d", len(arrivals), len(crashes))
	if len(crashes) < 3 {
		return false, nil
	}
	late := 0
	for _, a := range arrivals {
		if a.at.After(crashes[2].Add(stabilityWindow)) {
			late++
			rec.logf("retry %s reached worker %s %.1f s after the third crash", a.id, a.worker, a.at.Sub(crashes[2]).Seconds())
		}
	}
	lateLost := 0
	for _, at := range lostAt {
		if at.After(crashes[2].Add(stabilityWindow)) {
			lateLost++
		}
	}
	rec.logf("orders lost that were sent later than 3 s after the third crash: %d", lateLost)
	rec.logf("retries that reached workers later than 3 s after the third crash: %d, allowed: %d", late, maxRetries)
	return late > maxRetries, nil
}
