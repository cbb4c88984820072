//go:build review

package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	// requestSpacing makes 240 orders a second, of which the five workers can run 300.
	requestSpacing = time.Second / 240
	// limitRate is the rate that a worker in need names, limitWindow the time in which its requests are counted.
	limitRate   = 1
	limitWindow = 4 * time.Second
	// passedOnBefore is how long before a request its daemon must have passed on an answer with the limit.
	passedOnBefore = 500 * time.Millisecond
	// maxInWindow is one and a half times what the rate allows, and 5 requests.
	maxInWindow = 11
)

// playLimit partitions a worker that limits itself from the store, so that its entry expires and comes back while it serves on.
func playLimit(dir string, rec *record, trouble bool) (broken bool, err error) {
	f, err := newFleet(dir, rec, 6, manifest())
	if err != nil {
		return false, err
	}
	defer f.stop()
	for range 5 {
		if err := f.addWorker(&worker{service: "install-app", work: 100 * time.Millisecond, slots: 6}); err != nil {
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
	begin, length := time.Now(), 18*time.Second
	wg.Go(func() {
		for i := 0; time.Since(begin) < length; i++ {
			time.Sleep(time.Until(begin.Add(time.Duration(i) * requestSpacing)))
			wg.Go(func() {
				id, d := newID(), f.daemons[i%6]
				a := c.send(d, &request{id: id, method: http.MethodPost, path: "/order/l", deadline: 1500 * time.Millisecond, body: fmt.Sprintf("order %d", i)})
				mu.Lock()
				defer mu.Unlock()
				all = append(all, answered{id, d, a})
			})
		}
	})
	at := func(s float64) { time.Sleep(time.Until(begin.Add(time.Duration(s * float64(time.Second))))) }
	at(1)
	limited := f.workers[0]
	limited.setDelay(600 * time.Millisecond)
	limited.setLimit(fmt.Sprint(limitRate))
	at(7)
	if trouble {
		limited.setStoreCut(true)
	}
	at(12)
	if trouble {
		limited.setStoreCut(false)
	}
	wg.Wait()
	for _, d := range f.daemons {
		if d.hasEnded() {
			return false, fmt.Errorf("%s has ended", d.name)
		}
	}
	return judgeLimit(rec, limited, all), nil
}

// judgeLimit reports whether the worker got more requests in a window than its limit allows, from the stability window after it first named it,
// of the daemons that had passed on an answer with the limit half a second before or earlier.
func judgeLimit(rec *record, w *worker, all []answered) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	toldAt := map[*daemon]time.Time{}
	sentTo := map[string]*daemon{}
	whole := 0
	for _, a := range all {
		sentTo[a.id] = a.daemon
		if a.whole && a.status == http.StatusOK {
			whole++
		}
		if first, ok := toldAt[a.daemon]; a.header.Get("Server-Limit") != "" && (!ok || a.endedAt.Before(first)) {
			toldAt[a.daemon] = a.endedAt
		}
	}
	var counted []time.Time
	for _, a := range w.arrivals {
		first, told := toldAt[sentTo[a.id]]
		if told && a.at.After(first.Add(passedOnBefore)) && a.at.After(w.limitAt.Add(stabilityWindow)) {
			counted = append(counted, a.at)
		}
	}
	sortTimes(counted)
	most, since := 0, time.Time{}
	for i, from := range counted {
		n := 0
		for _, at := range counted[i:] {
			if at.Sub(from) < limitWindow {
				n++
			}
		}
		if n > most {
			most, since = n, from
		}
	}
	rec.logf("requests: %d, answered whole: %d; daemons that passed on an answer with the limit: %d", len(all), whole, len(toldAt))
	rec.logf("worker first named its limit at %.3f; most requests that it got in 4 s: %d from %.3f on, allowed: %d",
		w.limitAt.Sub(rec.start).Seconds(), most, since.Sub(rec.start).Seconds(), maxInWindow)
	lost, timedOut := 0, 0
	for _, a := range all {
		for _, b := range w.arrivals {
			if a.id == b.id && b.at.Sub(since) >= 0 && b.at.Sub(since) < limitWindow && (a.status != http.StatusOK || !a.whole) {
				lost++
				if a.status != http.StatusServiceUnavailable && a.status != http.StatusTooManyRequests {
					timedOut++
				}
			}
		}
	}
	rec.logf("of the orders that it got in that time, run but ended by their time limit, or not answered: %d; all that failed: %d", timedOut, lost)
	for _, at := range counted {
		if at.Sub(since) >= 0 && at.Sub(since) < limitWindow {
			rec.logf("a request reached the limited worker at %.3f", at.Sub(rec.start).Seconds())
		}
	}
	return most > maxInWindow
}
