//go:build review

package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/gooseberryway/gooseberryway/platform/standin"
)

// binary is the program as the deploy file builds it, relative to the repository.
const binary = "target/gooseberryway"

// graceS is the time from SIGTERM to SIGKILL, as the site sets it.
const graceS = 8

// recorder writes what was sent, answered and run, in the order of time.
type recorder struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func newRecorder(path string) (*recorder, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &recorder{file: f, start: time.Now()}, nil
}

func (r *recorder) log(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f s  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// daemon is a process of the project.
type daemon struct {
	id, dir                  string
	callers, ready, resolver string
	settings                 map[string]any
	rec                      *recorder

	mu   sync.Mutex
	cmd  *exec.Cmd
	done chan struct{}
}

// fleet is a small deployment: daemons before a store.
type fleet struct {
	rec     *recorder
	store   *standin.Store
	address string
	dir     string
	daemons []*daemon
}

func newFleet(rec *recorder) (*fleet, error) {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	running.mu.Lock()
	running.dirs = append(running.dirs, dir)
	running.mu.Unlock()
	f := &fleet{rec: rec, store: standin.NewStore(), dir: dir}
	f.address = f.store.Serve(nil)
	return f, nil
}

// add starts a daemon with settings like those of the site. storeAddress is empty for the store itself.
func (f *fleet) add(id, zone, storeAddress string) (*daemon, error) {
	if storeAddress == "" {
		storeAddress = f.address
	}
	d := &daemon{
		id: id, dir: f.dir, rec: f.rec,
		callers: standin.FreeAddress(), ready: standin.FreeAddress(), resolver: standin.FreeAddress(),
	}
	d.settings = map[string]any{
		"daemonId": id, "failureDomain": zone, "seeds": []string{}, "store": storeAddress,
		"resources": map[string]any{"cpuShare": 0.4, "cores": 1, "linkMbps": 1000},
		"listen": map[string]string{
			"callers": d.callers, "ready": d.ready, "directory": d.resolver, "peers": standin.FreeAddress(),
			"admin": standin.FreeAddress(), "metrics": standin.FreeAddress(),
		},
		"limits": map[string]any{
			"graceS": graceS, "fenced": true, "leaseMs": 3000, "weightsMs": 8000, "retryShare": 0.2, "retrySlack": 56,
			"retryWindowS": 10, "directoryTtlS": 5,
		},
	}
	f.daemons = append(f.daemons, d)
	return d, d.launch()
}

func (d *daemon) launch() error {
	raw, err := json.Marshal(d.settings)
	if err != nil {
		return err
	}
	file := filepath.Join(d.dir, d.id+".json")
	if err := os.WriteFile(file, raw, 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(d.dir, d.id+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(binary, "entry", "--settings", file)
	cmd.Stdout, cmd.Stderr = log, log
	if err := start(cmd); err != nil {
		return err
	}
	done := make(chan struct{})
	go func() {
		err := cmd.Wait()
		d.rec.log("%s ends: %v", d.id, err)
		log.Close()
		close(done)
	}()
	d.mu.Lock()
	d.cmd, d.done = cmd, done
	d.mu.Unlock()
	d.rec.log("%s starts, pid %d, callers at %s", d.id, cmd.Process.Pid, d.callers)
	return nil
}

func (d *daemon) signal(s syscall.Signal) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.rec.log("%s gets %v", d.id, s)
	_ = d.cmd.Process.Signal(s)
}

// waitReady waits until all daemons say that they are ready.
func (f *fleet) waitReady(limit time.Duration) error {
	end := time.Now().Add(limit)
	for _, d := range f.daemons {
		for {
			resp, err := http.Get("http://" + d.ready + "/api/readiness")
			if err == nil {
				resp.Body.Close()
				if resp.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(end) {
				return errors.New(d.id + " isn't ready")
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

// close ends all processes and keeps the daemons' logs if REVIEW_LOGS names a folder.
func (f *fleet) close() {
	for _, d := range f.daemons {
		d.mu.Lock()
		if d.cmd != nil {
			_ = d.cmd.Process.Signal(syscall.SIGCONT)
			_ = d.cmd.Process.Kill()
			done := d.done
			d.mu.Unlock()
			<-done
			continue
		}
		d.mu.Unlock()
	}
	f.store.Close()
	if to := os.Getenv("REVIEW_LOGS"); to != "" {
		_ = os.CopyFS(to, os.DirFS(f.dir))
	}
	_ = os.RemoveAll(f.dir)
}

// listen returns a loopback listener.
func listen(address string) (net.Listener, error) {
	if address == "" {
		address = "127.0.0.1:0"
	}
	var l net.Listener
	var err error
	for range 50 {
		if l, err = net.Listen("tcp4", address); err == nil || !strings.Contains(err.Error(), "in use") {
			return l, err
		}
		time.Sleep(20 * time.Millisecond)
	}
	return l, err
}

// running are the processes that were started, ending says that no more may be.
var running struct {
	mu     sync.Mutex
	cmds   []*exec.Cmd
	dirs   []string
	ending bool
}

func start(cmd *exec.Cmd) error {
	running.mu.Lock()
	defer running.mu.Unlock()
	if running.ending {
		return errors.New("the case ends")
	}
	if err := cmd.Start(); err != nil {
		return err
	}
	running.cmds = append(running.cmds, cmd)
	return nil
}

// killAll ends all processes that still run, lets no more start, and removes their files.
func killAll() {
	running.mu.Lock()
	defer running.mu.Unlock()
	running.ending = true
	for _, cmd := range running.cmds {
		_ = cmd.Process.Kill()
	}
	// The goroutines that wait for the processes see them end.
	time.Sleep(300 * time.Millisecond)
	for _, dir := range running.dirs {
		_ = os.RemoveAll(dir)
	}
}
