//go:build review

package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// applyTime is configuration-apply-ms.
const applyTime = 2 * time.Second

// playSilent makes the daemons' open channels to the store go silent between two manifests, of which the second moves a route of unsafe requests to
// another service.
func playSilent(dir string, rec *record, trouble bool) (broken bool, err error) {
	f, err := newFleet(dir, rec, 4, ordersAt(1, "install-app"))
	if err != nil {
		return false, err
	}
	defer f.stop()
	for i := range 6 {
		service := []string{"install-app", "booking"}[i%2]
		if err := f.addWorker(&worker{service: service, work: 15 * time.Millisecond, slots: 6}); err != nil {
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
			time.Sleep(20 * time.Millisecond)
			wg.Go(func() {
				id, d := newID(), f.daemons[i%4]
				a := c.send(d, &request{id: id, method: http.MethodPost, path: "/order/o", deadline: 600 * time.Millisecond, body: fmt.Sprintf("order %d", i)})
				mu.Lock()
				defer mu.Unlock()
				all = append(all, answered{id, d, a})
			})
		}
	})
	at := func(s float64) { time.Sleep(time.Until(begin.Add(time.Duration(s * float64(time.Second))))) }
	at(2)
	f.shared.Put("keyed.op", "config", ordersAt(2, "install-app"))
	rec.logf("manifest 2 is confirmed, with orders at the old service")
	at(2.2)
	silentAt := time.Now()
	if trouble {
		for _, d := range f.daemons {
			d.store.path.silence()
		}
		rec.logf("open channels to the store go silent")
	}
	at(2.5)
	f.shared.Put("keyed.op", "config", ordersAt(3, "booking"))
	confirmedAt := time.Now()
	rec.logf("manifest 3 is confirmed, with orders at the new service")
	wg.Wait()
	for _, d := range f.daemons {
		if d.hasEnded() {
			return false, fmt.Errorf("%s has ended", d.name)
		}
	}
	return judgeSilent(f, rec, all, confirmedAt, silentAt, trouble), nil
}

// judgeSilent reports whether a request ran at the old service that was sent later than the apply time after the confirmation, by machines that
// are in touch again.
func judgeSilent(f *fleet, rec *record, all []answered, confirmedAt, silentAt time.Time, trouble bool) bool {
	ranOld := map[string]arrival{}
	for _, w := range f.workers {
		w.mu.Lock()
		for _, a := range w.arrivals {
			if w.service == "install-app" {
				ranOld[a.id] = a
			}
		}
		w.mu.Unlock()
	}
	late, whole := 0, 0
	for _, a := range all {
		if a.whole && a.status == http.StatusOK {
			whole++
		}
		inTouch := !trouble || a.sentAt.After(silentAt.Add(stabilityWindow))
		if old, ok := ranOld[a.id]; ok && inTouch && a.sentAt.After(confirmedAt.Add(applyTime)) {
			late++
			rec.logf("request %s, sent to %s %.3f s after the confirmation and %.3f s after the channels went silent, ran at %s of the old service", a.id,
				a.daemon.name, a.sentAt.Sub(confirmedAt).Seconds(), a.sentAt.Sub(silentAt).Seconds(), old.worker)
		}
	}
	rec.logf("requests: %d, answered whole: %d; sent too late for the old service, but run by it: %d, allowed: 0", len(all), whole, late)
	return late > 0
}

// ordersAt returns a version of the manifest in which a service runs the orders.
func ordersAt(version int, service string) map[string]any {
	m := manifest()
	m["version"] = version
	m["services"] = append(m["services"].([]any), map[string]any{"name": "booking", "health-check-path": "/health", "max-connections": 96})
	for _, r := range m["routes"].([]any) {
		if route := r.(map[string]any); route["name"] == "order" {
			route["service"] = service
		}
	}
	return m
}
