//go:build review

package main

import (
	"fmt"
	"time"
)

// keys lets the only tenant of a deployment send requests. A manifest then removes that tenant: if trouble is set, no tenant is left,
// otherwise another one takes its place. It counts the requests with the removed key, or with one that no manifest ever held, that
// run although they were sent later than configuration-apply-ms after the manifest.
func keys(rec *recorder, trouble bool) (int, error) {
	f, engines, end, err := startPool(rec, 2, 2, manifest(1, 15000, tenant("crew", false)))
	if err != nil {
		return 0, err
	}
	defer end()
	status := map[string]int{}
	send := func(n int, key string) answer {
		q := request{
			id: fmt.Sprintf("%s-%03d", key, n), method: "POST", path: "/note/x", key: key, model: "m", body: "hello",
			prefix: fmt.Sprintf("aa01:400,bb0%d:300,%08x:100", n%4, n), deadline: 15 * time.Second,
		}
		d := f.daemons[n%len(f.daemons)]
		rec.log("caller sends %s with key %s to %s", q.id, key, d.id)
		a := d.send(q)
		rec.log("caller of %s gets status %d, whole %v, error: %v", q.id, a.status, a.whole, a.err)
		status[q.id] = a.status
		return a
	}
	for n := range 4 {
		if a := send(n, "key-crew"); a.status != 200 {
			return 0, fmt.Errorf("the tenant got status %d", a.status)
		}
		if a := send(n, "key-nobody"); a.status != 401 {
			return 0, fmt.Errorf("an unknown key got status %d", a.status)
		}
	}
	tenants := []any{}
	if !trouble {
		tenants = append(tenants, tenant("audit", false))
	}
	m := manifest(2, 15000)
	m["tenants"] = tenants
	f.store.Put("keyed.op", "config", m)
	rec.log("the store confirms manifest 2 without the tenant crew, %d tenants are left", len(tenants))
	time.Sleep(6 * time.Second)
	from := time.Now()
	for n := range 4 {
		send(100+n, "key-crew")
		send(100+n, "key-nobody")
	}
	broken := 0
	for _, e := range engines {
		e.mu.Lock()
		for _, n := range e.runs {
			if n.at.After(from) {
				broken++
				rec.log("rule broken: %s, sent %.1f s after the confirmation, runs at %s", n.request, 6+n.at.Sub(from).Seconds(), n.worker)
			}
		}
		e.mu.Unlock()
	}
	return broken, nil
}
