//go:build review

package main

import (
	"fmt"
	"time"
)

// wall lets two tenants send prompts with the same parts. If trouble is set, a manifest then isolates one of them; otherwise it
// changes a time-out. It counts the runs that go on from a part that the other tenant's request made, though one of both is
// isolated, sent later than configuration-apply-ms after the manifest.
func wall(rec *recorder, trouble bool) (int, error) {
	f, engines, end, err := startPool(rec, 2, 2, manifest(1, 15000, tenant("crew", false), tenant("audit", false)))
	if err != nil {
		return 0, err
	}
	defer end()
	served := 0
	send := func(n int, who string) {
		q := request{
			id: fmt.Sprintf("%s-%03d", who, n), method: "POST", path: "/note/x", key: "key-" + who, model: "m", body: "hello",
			prefix: fmt.Sprintf("aa01:400,bb0%d:300,%08x:100", n%4, n), deadline: 15 * time.Second,
		}
		d := f.daemons[n%len(f.daemons)]
		rec.log("caller of tenant %s sends %s to %s", who, q.id, d.id)
		a := d.send(q)
		rec.log("caller of %s gets status %d, whole %v, error: %v", q.id, a.status, a.whole, a.err)
		if a.status == 200 && a.whole {
			served++
		}
	}
	for n := range 8 {
		send(n, "crew")
	}
	m := manifest(2, 14000, tenant("crew", trouble), tenant("audit", false))
	f.store.Put("keyed.op", "config", m)
	rec.log("the store confirms manifest 2, crew isolated: %v", trouble)
	time.Sleep(6 * time.Second)
	from := time.Now()
	for n := range 8 {
		send(100+n, "audit")
		send(200+n, "crew")
	}
	if served != 24 {
		return 0, fmt.Errorf("%d of 24 requests were served", served)
	}
	isolated := map[string]bool{"crew": trouble}
	broken := 0
	for _, e := range engines {
		e.mu.Lock()
		for _, n := range e.runs {
			for key, m := range n.used {
				if n.at.After(from) && m.tenant != n.tenant && (isolated[m.tenant] || isolated[n.tenant]) {
					broken++
					rec.log("WALL broken: %s of %s uses part %s, made by %s of %s", n.request, n.tenant, key, m.request, m.tenant)
				}
			}
		}
		e.mu.Unlock()
	}
	return broken, nil
}
