//go:build review

package main

import (
	"fmt"
	"strings"
	"time"
)

// crlf sends streams to workers that, if trouble is set, end the lines of events with CR and LF, as text/event-stream allows. It is no
// case, as the pages name no disruption for it. It counts the streams that end as complete ones without all their bytes.
func crlf(rec *recorder, trouble bool) (int, error) {
	f, engines, end, err := startPool(rec, 2, 2, manifest(1, 15000, tenant("a", false)))
	if err != nil {
		return 0, err
	}
	defer end()
	for _, e := range engines {
		e.mu.Lock()
		e.crlf = trouble
		e.mu.Unlock()
	}
	want := len(engines[0].allEvents(0))
	broken := 0
	for n := range 8 {
		a := f.daemons[n%2].send(request{
			id: fmt.Sprint("c", n), method: "POST", path: "/note/x", key: "key-a", model: "m", body: "hello",
			prefix: fmt.Sprintf("aa01:400,%08x:100", n), deadline: 15 * time.Second,
		})
		rec.log("caller gets status %d, whole %v, %d of %d bytes", a.status, a.whole, len(a.body), want)
		if a.status == 200 && a.whole && len(a.body) != want {
			broken++
		}
	}
	return broken, nil
}

// path sends a request whose path, if trouble is set, holds characters that RFC 3986 wants encoded and clients often don't encode. It is
// no case either. It counts the requests that reach a worker with another path.
func path(rec *recorder, trouble bool) (int, error) {
	f, engines, end, err := startPool(rec, 1, 1, manifest(1, 15000, tenant("a", false)))
	if err != nil {
		return 0, err
	}
	defer end()
	target := "/note/plot-12"
	if trouble {
		target = "/note/plot|12"
	}
	f.daemons[0].send(request{
		id: "p", method: "POST", path: target, key: "key-a", model: "m", body: "hello", prefix: "aa01:400,b:100", deadline: 15 * time.Second,
	})
	broken := 0
	for _, n := range engines[0].runs {
		rec.log("sent with %q, reached the worker with %q", target, n.target)
		if !strings.EqualFold(n.target, target) {
			broken++
		}
	}
	return broken, nil
}
