//go:build review

package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// memoryMB is the limit of a daemon's memory, as the site sets it.
	memoryMB = 134
	// largeBytes is the size of the large tenant's requests: max-body-bytes of the manifest.
	largeBytes = 4194304
	// largePeriod is the time between two of its requests at a daemon. When it is hot, for hotTime, it sends 7.5 times as many.
	largePeriod     = 1700 * time.Millisecond
	hotFactorTenths = 75
	hotTime         = 6500 * time.Millisecond
	hotAfter        = 10 * time.Second
	// allowedLosses is how often a machine may pass a request on and close its channel without an answer.
	allowedLosses = 3
	largeLength   = 26 * time.Second
)

// residentMB returns the memory that a process holds, in MB.
func residentMB(pid int) float64 {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.SplitSeq(string(raw), "\n") {
		if f := strings.Fields(line); len(f) > 1 && f[0] == "VmRSS:" {
			kb, _ := strconv.ParseFloat(f[1], 64)
			return kb * 1024 / 1e6
		}
	}
	return 0
}

// enforceMemory does what the platform does: a process that exceeds its memory is killed and started again.
func (d *daemon) enforceMemory(stop chan struct{}, kills *int, mu *sync.Mutex) {
	peak := 0.0
	for {
		select {
		case <-stop:
			d.rec.log("%s held at most %.0f MB", d.id, peak)
			return
		case <-time.After(50 * time.Millisecond):
		}
		d.mu.Lock()
		pid, done := d.cmd.Process.Pid, d.done
		d.mu.Unlock()
		mb := residentMB(pid)
		peak = max(peak, mb)
		if mb <= memoryMB {
			continue
		}
		d.rec.log("%s holds %.0f MB, over its %d MB: the platform kills it", d.id, mb, memoryMB)
		mu.Lock()
		*kills++
		mu.Unlock()
		d.signal(syscall.SIGKILL)
		<-done
		time.Sleep(500 * time.Millisecond)
		if err := d.launch(); err != nil {
			d.rec.log("can't start again: %v", err)
			return
		}
	}
}

// sendKept sends a small request and then q on the same channel, and returns the answer to q.
func (d *daemon) sendKept(q request, body []byte) answer {
	began := time.Now()
	c, err := net.DialTimeout("tcp4", d.callers, time.Second)
	if err != nil {
		return answer{err: err}
	}
	defer c.Close()
	_ = c.SetDeadline(began.Add(q.deadline))
	r := bufio.NewReader(c)
	var a answer
	for i, b := range [][]byte{[]byte("hello"), body} {
		var h bytes.Buffer
		fmt.Fprintf(&h, "POST %s HTTP/1.1\r\nHost: h.example\r\nX-Gooseberryway-Attempt-Id: %s-%d\r\n", q.path, q.id, i)
		fmt.Fprintf(&h, "X-Gooseberryway-Deadline-Milliseconds: %d\r\nAuthorization: Bearer %s\r\n", q.deadline.Milliseconds(), q.key)
		fmt.Fprintf(&h, "X-Gooseberryway-Model: m\r\nX-Gooseberryway-Token-Counts: 800,80\r\nX-Gooseberryway-Prompt-Prefix: %s\r\n", q.prefix)
		fmt.Fprintf(&h, "Content-Length: %d\r\n\r\n", len(b))
		if _, err := c.Write(append(h.Bytes(), b...)); err != nil {
			return answer{err: err}
		}
		resp, err := http.ReadResponse(r, nil)
		if err != nil {
			return answer{err: err}
		}
		raw, err := io.ReadAll(resp.Body)
		resp.Body.Close()
		a = answer{status: resp.StatusCode, signature: resp.Header.Get("X-Gooseberryway-Response-Signature"), body: string(raw), whole: err == nil, err: err}
		if err != nil || resp.StatusCode != http.StatusOK {
			return a
		}
	}
	return a
}

// large lets two tenants send streams; the prompts of one are as long as the manifest allows. If trouble is set, that one sends many
// times its usual for a while. It counts the requests that were passed on to a sound worker and whose channel ended without an answer, at
// machines where that are more than three.
func large(rec *recorder, trouble bool) (int, error) {
	f, engines, end, err := startPool(rec, 3, 6, manifest(1, 15000, tenant("a", false), tenant("b", false)))
	if err != nil {
		return 0, err
	}
	defer end()
	for _, e := range engines {
		e.mu.Lock()
		e.first, e.interval = 700*time.Millisecond, 200*time.Millisecond
		e.mu.Unlock()
	}
	stop := make(chan struct{})
	var mu sync.Mutex
	kills := 0
	var watch sync.WaitGroup
	for _, d := range f.daemons {
		watch.Go(func() { d.enforceMemory(stop, &kills, &mu) })
	}
	body := bytes.Repeat([]byte("girth 41 cm; "), largeBytes/13)
	started := time.Now()
	var wg sync.WaitGroup
	// lost holds the daemons at which requests ended without an answer.
	lost := map[string]string{}
	served := 0
	send := func(d *daemon, id, key string, b []byte) {
		rec.log("caller sends %s (%d bytes) to %s", id, len(b), d.id)
		a := d.sendKept(request{id: id, path: "/note/x", key: key, prefix: fmt.Sprintf("aa01:400,bb%02d:300,%s:100", len(id)%9, id), deadline: 15 * time.Second}, b)
		rec.log("caller of %s at %s (%d bytes) gets status %d, whole %v, error: %v", id, d.id, len(b), a.status, a.whole, a.err)
		mu.Lock()
		defer mu.Unlock()
		switch {
		case a.status == 200 && a.whole:
			served++
		case a.status == 0 && a.err != nil:
			lost[id+"-1"] = d.id
		}
	}
	for i, d := range f.daemons {
		wg.Go(func() {
			for n := 0; time.Since(started) < largeLength; n++ {
				wg.Go(func() { send(d, fmt.Sprintf("a%d%04d", i, n), "key-a", []byte("hello")) })
				time.Sleep(200 * time.Millisecond)
			}
		})
		wg.Go(func() {
			for n := 0; time.Since(started) < largeLength; n++ {
				wg.Go(func() { send(d, fmt.Sprintf("b%d%04d", i, n), "key-b", body) })
				hot := trouble && time.Since(started) > hotAfter && time.Since(started) < hotAfter+hotTime
				if hot {
					time.Sleep(largePeriod * 10 / hotFactorTenths)
				} else {
					time.Sleep(largePeriod)
				}
			}
		})
	}
	wg.Wait()
	close(stop)
	watch.Wait()
	atMachine := map[string]int{}
	for _, e := range engines {
		e.mu.Lock()
		for _, n := range e.runs {
			if machine := lost[n.request]; machine != "" {
				atMachine[machine]++
				rec.log("%s ran at %s, and its channel to %s ended without an answer", n.request, n.worker, machine)
			}
		}
		e.mu.Unlock()
	}
	broken := 0
	for machine, n := range atMachine {
		if n > allowedLosses {
			broken += n
			rec.log("LOST broken: %d times at %s", n, machine)
		}
	}
	rec.log("%d served, %d processes killed for their memory, passed on and lost by machine: %v", served, kills, atMachine)
	if served == 0 {
		return 0, fmt.Errorf("no request was served")
	}
	return broken, nil
}
