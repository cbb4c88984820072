//go:build review

package main

import (
	"fmt"
	"sync"
	"time"
)

const streamEvents = 18

// manifest returns a manifest with one resumable streaming route.
func manifest(version int, timeoutMs int, tenants ...any) map[string]any {
	return map[string]any{
		"version": version,
		"routes": []any{map[string]any{
			"name": "note", "host": "h.example", "path-prefix": "/note/", "kind": "streaming", "timeout-ms": timeoutMs,
			"target-latency-ms": 300, "priority": 0, "service": "pool", "attempts": 2, "allow-anonymous": false,
			"session-affinity": true, "resumable": true, "target-gap-ms": 250,
		}},
		"services": []any{map[string]any{
			"name": "pool", "health-check-path": "/health", "max-connections": 370, "protocol": "h1", "tls": false,
			"engine": map[string]any{
				"slots": 64, "kv-capacity": 112711, "kv-token-bytes": 327680, "link-mbps": 550000.0, "moves": true, "backups": true,
				"stride": 4, "max-in-flight": 12, "models": []any{map[string]any{"name": "m"}},
			},
		}},
		"limits":  map[string]any{"max-header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
		"tenants": tenants,
	}
}

func tenant(name string, isolated bool) map[string]any {
	return map[string]any{
		"name": name, "keys": []string{"key-" + name}, "priority": 1, "unit": "tokens", "uncached-tokens": 200, "isolated": isolated,
		"requests-per-s": 1000000, "burst": 1000000,
	}
}

// startPool starts daemons and workers of one service and waits until they are in use.
func startPool(rec *recorder, daemons, workers int, m map[string]any) (*fleet, []*engine, func(), error) {
	f, err := newFleet(rec)
	if err != nil {
		return nil, nil, nil, err
	}
	f.store.Put("keyed.op", "config", m)
	f.store.Put("keyed.op", "version/m", map[string]any{"model": "m", "version": 1})
	stop := make(chan struct{})
	var engines []*engine
	end := func() {
		close(stop)
		f.close()
		for _, e := range engines {
			e.crash()
		}
	}
	for i := range workers {
		e := &engine{service: "pool", model: "m", zone: "z" + fmt.Sprint(i%2), events: streamEvents, interval: 24 * time.Millisecond, rec: rec}
		if err := e.start(fmt.Sprintf("i-%d-1", i)); err != nil {
			end()
			return nil, nil, nil, err
		}
		engines = append(engines, e)
		go f.beat(e, stop)
	}
	for i := range daemons {
		if _, err := f.add(fmt.Sprint("d", i), "z"+fmt.Sprint(i%2), ""); err != nil {
			end()
			return nil, nil, nil, err
		}
	}
	if err := f.waitReady(15 * time.Second); err != nil {
		end()
		return nil, nil, nil, err
	}
	time.Sleep(4 * time.Second)
	return f, engines, end, nil
}

// resumed keeps streams running while, if trouble is set, three workers of six crash one after the other and come back. It counts the
// streams that end as complete ones without all their events.
func resumed(rec *recorder, trouble bool) (int, error) {
	f, engines, end, err := startPool(rec, 3, 6, manifest(1, 15000, tenant("a", false)))
	if err != nil {
		return 0, err
	}
	defer end()
	var wg sync.WaitGroup
	var mu sync.Mutex
	broken, complete, refused, cut := 0, 0, 0, 0
	started := time.Now()
	if trouble {
		wg.Go(func() {
			for i, e := range engines[:3] {
				time.Sleep(time.Until(started.Add(time.Duration(3+4*i) * time.Second)))
				e.crash()
				time.Sleep(3 * time.Second)
				if err := e.start(fmt.Sprintf("i-%d-2", i)); err != nil {
					rec.log("worker can't start: %v", err)
				}
			}
		})
	}
	for n := 0; time.Since(started) < 18*time.Second; n++ {
		d := f.daemons[n%len(f.daemons)]
		q := request{
			id: fmt.Sprintf("r%05d", n), method: "POST", path: "/note/x", key: "key-a", model: "m", body: "hello",
			prefix: fmt.Sprintf("aa01:400,bb0%d:300,%08x:100", n%6, n), deadline: 15 * time.Second,
		}
		wg.Go(func() {
			rec.log("caller sends %s to %s", q.id, d.id)
			a := d.send(q)
			got, ok := countEvents(a.body)
			rec.log("caller of %s gets status %d, signature %q, %d events in order: %v, ends as complete: %v, error: %v", q.id, a.status,
				a.signature, got, ok, a.whole, a.err)
			mu.Lock()
			defer mu.Unlock()
			switch {
			case a.status == 200 && a.whole && (got != streamEvents || !ok):
				broken++
				rec.log("ORDER broken: %s ends as complete after %d of %d events", q.id, got, streamEvents)
			case a.status == 200 && a.whole:
				complete++
			case a.status == 200:
				cut++
			default:
				refused++
			}
		})
		time.Sleep(8 * time.Millisecond)
	}
	wg.Wait()
	rec.log("%d streams complete, %d complete with events missing, %d cut, %d refused or failed", complete, broken, cut, refused)
	if complete == 0 {
		return 0, fmt.Errorf("no stream was served")
	}
	return broken, nil
}

// countEvents returns the number of whole events and whether their ids go up by one from 1.
func countEvents(body string) (int, bool) {
	n := 0
	for rest := body; rest != ""; n++ {
		want := fmt.Sprintf("id: %d\ndata: piece %d of %d\n\n", n+1, n+1, streamEvents)
		if len(rest) < len(want) || rest[:len(want)] != want {
			return n, false
		}
		rest = rest[len(want):]
	}
	return n, true
}
