package crowd

import (
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"
)

// usagePeriod is the time between two samples.
const usagePeriod = 50 * time.Millisecond

// usage samples the resident memory of a process together with the bytes that its connections have received and not read.
type usage struct {
	mu               sync.Mutex
	pid              int
	together, unread int64
}

// forgetPeak makes the kernel forget the largest resident memory of a process.
const forgetPeak = "5"

// reset forgets the samples and the largest resident memory.
func (u *usage) reset() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.together, u.unread = 0, 0
	_ = os.WriteFile(fmt.Sprintf("/proc/%d/clear_refs", u.pid), []byte(forgetPeak), 0)
}

// peak returns the largest sums since the last reset in megabytes.
func (u *usage) peak() (together, unread float64) {
	u.mu.Lock()
	defer u.mu.Unlock()
	return float64(u.together) / bytesPerMB, float64(u.unread) / bytesPerMB
}

// watch samples until stop is called, which waits.
func (u *usage) watch(pid int) (stop func()) {
	u.pid = pid
	done, stopped := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(stopped)
		for {
			resident, unread := residentBytes(pid), unreadBytes(socketsOf(pid))
			u.mu.Lock()
			u.together, u.unread = max(u.together, resident+unread), max(u.unread, unread)
			u.mu.Unlock()
			select {
			case <-done:
				return
			case <-time.After(usagePeriod):
			}
		}
	}()
	return func() {
		close(done)
		<-stopped
	}
}

// residentBytes returns the resident memory of a process; 0 if it has ended.
func residentBytes(pid int) int64 {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	fields := strings.Fields(string(raw))
	if err != nil || len(fields) < 2 {
		return 0
	}
	pages, _ := strconv.ParseInt(fields[1], 10, 64)
	return pages * int64(os.Getpagesize())
}

// socketsOf returns the inodes of the sockets that a process has open.
func socketsOf(pid int) map[string]bool {
	dir := fmt.Sprintf("/proc/%d/fd", pid)
	entries, _ := os.ReadDir(dir)
	inodes := map[string]bool{}
	for _, e := range entries {
		target, err := os.Readlink(filepath.Join(dir, e.Name()))
		if inode, found := strings.CutPrefix(target, "socket:["); err == nil && found {
			inodes[strings.TrimSuffix(inode, "]")] = true
		}
	}
	return inodes
}

// Columns of /proc/net/tcp, and the state of a listening socket, whose queue holds connections.
const (
	columnState, columnQueues, columnInode = 3, 4, 9

	stateListening = "0A"
)

// unreadBytes returns the bytes in the receive queues of TCP sockets.
func unreadBytes(inodes map[string]bool) int64 {
	sum := int64(0)
	for _, file := range []string{"/proc/net/tcp", "/proc/net/tcp6"} {
		raw, _ := os.ReadFile(file)
		for line := range strings.Lines(string(raw)) {
			columns := strings.Fields(line)
			if len(columns) <= columnInode || !inodes[columns[columnInode]] || columns[columnState] == stateListening {
				continue
			}
			_, received, _ := strings.Cut(columns[columnQueues], ":")
			n, _ := strconv.ParseInt(received, 16, 64)
			sum += n
		}
	}
	return sum
}
