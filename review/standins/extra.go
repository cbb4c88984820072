//go:build review

package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

const (
	// Seven of twelve workers (0.58) send 0.03 of their answers twice, for 5 s at a time.
	extraWorkers = 7
	extraShare   = 0.03
	extraTime    = 5 * time.Second
	calmTime     = 500 * time.Millisecond
	extraLength  = 96 * time.Second
)

// extra keeps streams running while new weights are named. If trouble is set, some workers send a second copy of some of their
// answers late, where the next answer on the channel is expected. It counts the successes without the signature of the worker that
// ran the request, or whose body isn't the one of that run.
func extra(rec *recorder, trouble bool) (int, error) {
	f, engines, end, err := startPool(rec, 3, 12, manifest(1, 15000, tenant("a", false)))
	if err != nil {
		return 0, err
	}
	defer end()
	started := time.Now()
	var wg sync.WaitGroup
	wg.Go(func() {
		for v := 2; time.Since(started) < extraLength-4*time.Second; v++ {
			f.store.Put("keyed.op", "version/m", map[string]any{"model": "m", "version": v})
			rec.log("version %d is named", v)
			time.Sleep(3200 * time.Millisecond)
		}
	})
	if trouble {
		wg.Go(func() {
			for time.Since(started) < extraLength {
				for _, share := range []float64{extraShare, 0} {
					for _, e := range engines[:extraWorkers] {
						e.mu.Lock()
						e.extraShare = share
						e.mu.Unlock()
					}
					if share > 0 {
						time.Sleep(extraTime)
					} else {
						time.Sleep(calmTime)
					}
				}
			}
		})
	}
	var mu sync.Mutex
	broken, served, other := 0, 0, map[int]int{}
	for n := 0; time.Since(started) < extraLength; n++ {
		d := f.daemons[n%len(f.daemons)]
		q := request{
			id: fmt.Sprintf("r%05d", n), method: "POST", path: "/note/x", key: "key-a", model: "m", body: "hello",
			prefix: fmt.Sprintf("aa01:400,bb%02d:300,%08x:100", n%48, n), deadline: 15 * time.Second,
		}
		wg.Go(func() {
			rec.log("caller sends %s to %s", q.id, d.id)
			a := d.send(q)
			got, ok := countEvents(a.body)
			rec.log("caller of %s at %s gets status %d, signature %q, %d events, whole %v, error: %v", q.id, d.id, a.status, a.signature, got, a.whole, a.err)
			mu.Lock()
			defer mu.Unlock()
			own := strings.HasPrefix(a.signature, "sig.") && strings.HasSuffix(a.signature, "."+q.id)
			switch {
			case a.status == 200 && a.whole && (!own || got != streamEvents || !ok):
				broken++
				rec.log("MIXED broken: %s gets a 200 with signature %q and the body %.300q", q.id, a.signature, a.body)
			case a.status == 200 && a.whole:
				served++
			default:
				other[a.status]++
			}
		})
		time.Sleep(4 * time.Millisecond)
	}
	wg.Wait()
	rec.log("%d served, %d wrong successes, others by status %v", served, broken, other)
	if served == 0 {
		return 0, fmt.Errorf("no request was served")
	}
	return broken, nil
}
