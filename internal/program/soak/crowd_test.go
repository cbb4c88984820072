package soak

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// crowdSize is the number of clients of a crowd, crowdGap the longest time between two crowds.
	crowdSize = 60
	crowdGap  = time.Second
	// memoryMB is the memory of a daemon's machine in megabytes, fileDescriptors its descriptors.
	memoryMB        = 112
	fileDescriptors = 4100
	bytesPerMB      = 1e6
)

// misbehave has crowds of clients without limits connect to daemons until ctx ends, each with forms of its own. Crowds overlap.
func (w *cluster) misbehave(ctx context.Context, rng *rand.Rand) {
	var wg sync.WaitGroup
	defer wg.Wait()
	for ctx.Err() == nil {
		address := w.processes[rng.IntN(len(w.processes))].callerAddress
		stay := time.Duration(rng.IntN(2000)) * time.Millisecond
		for range crowdSize {
			first, rest := crowdRequest(rng)
			wg.Go(func() { misbehaveOnce(address, first, rest, stay) })
		}
		select {
		case <-ctx.Done():
		case <-time.After(time.Duration(rng.Int64N(int64(crowdGap)))):
		}
	}
}

// crowdRequest returns what a client sends at once and what it may send a byte at a time. None of it is a whole request that may run more than once.
func crowdRequest(rng *rand.Rand) (first, rest []byte) {
	head := "POST /lookup/x HTTP/1.1\r\nHost: h.example\r\nAuthorization: Bearer key-a\r\n"
	size := 1 << (10 + rng.IntN(12))
	switch rng.IntN(6) {
	case 0:
		return append(fmt.Appendf(nil, "%sContent-Length: %d\r\n\r\n", head, size), make([]byte, size-16)...), make([]byte, 8)
	case 1:
		return append(fmt.Appendf(nil, "%sTransfer-Encoding: chunked\r\n\r\n%x\r\n", head, size), make([]byte, size)...), []byte("\r\n")
	case 2:
		return []byte(head + strings.Repeat("a:\r\n", rng.IntN(15_000))), []byte("b: c\r\n")
	case 3:
		return []byte(head + strings.Repeat("a:\r\n", 20_000) + "\r\n"), nil
	case 4:
		return bytes.Repeat([]byte("\r\n"), 40_000), nil
	default:
		return nil, []byte(head)
	}
}

func misbehaveOnce(address string, first, rest []byte, stay time.Duration) {
	c, err := net.DialTimeout("tcp4", address, time.Second)
	if err != nil {
		return
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(stay))
	if _, err := c.Write(first); err != nil {
		return
	}
	for _, b := range rest {
		time.Sleep(stay / time.Duration(len(rest)+1))
		if _, err := c.Write([]byte{b}); err != nil {
			return
		}
	}
	_, _ = c.Read(make([]byte, 1))
}

// checkMemory reports daemons whose resident memory has been above that of their machine since they last started.
func (c *checker) checkMemory(w *cluster) {
	for _, p := range w.processes {
		p.mu.Lock()
		pid := p.cmd.Process.Pid
		p.mu.Unlock()
		raw, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
		_, line, found := strings.Cut(string(raw), "VmHWM:")
		if !found {
			continue
		}
		kibibytes, _ := strconv.ParseInt(strings.Fields(line)[0], 10, 64)
		if mb := float64(kibibytes<<10) / bytesPerMB; mb > memoryMB {
			c.reportViolation("daemon %s had %.0f MB resident of %d", p.id, mb, memoryMB)
		}
	}
}
