//go:build review

// Command play runs the cases of the review's scripts: it starts the daemon as separate processes before stand-ins of the platform's store, of
// workers and of callers on loopback, and judges by what callers and workers saw.
package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httputil"
	"net/url"
	"os"
	"os/exec"
	"path/filepath"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/gooseberryway/gooseberryway/platform/standin"
)

const (
	host = "play.example"
	key  = "key-of-the-tenant"
	// Ports are the same on all machines of a deployment.
	callersPort, readyPort, directoryPort, controlPort, peersPort = 1, 2, 3, 4, 5
)

// Bounds of a small deployment, as its pages give them.
const (
	stabilityWindow = 3 * time.Second
	drainTime       = 2 * time.Second
	graceTime       = 8 * time.Second
	checkInPeriod   = 1200 * time.Millisecond
)

// daemon is one process of the system with a path of its own to the store and to the workers.
type daemon struct {
	name, ip string
	settings string
	callers  string
	store    *frontDoor
	// servers is the daemon's view of the list of workers: the same records, with the addresses of its own paths.
	servers *standin.Store
	cmd     *exec.Cmd
	exited  chan struct{}
}

// frontDoor is a daemon's path to the platform's store.
type frontDoor struct {
	address string
	down    atomic.Bool
	path    *path
}

// fleet is a small deployment.
type fleet struct {
	dir      string
	record   *record
	shared   *standin.Store
	sharedAt string
	basePort int
	daemons  []*daemon
	workers  []*worker
	// storeDown says that the store accepts nothing from workers either.
	storeDown atomic.Bool
}

func newFleet(dir string, rec *record, daemons int, manifest map[string]any) (*fleet, error) {
	f := &fleet{dir: dir, record: rec, shared: standin.NewStore()}
	f.sharedAt = f.shared.Serve(nil)
	f.shared.Put("keyed.op", "config", manifest)
	f.shared.Put("keyed.op", "version/m0", map[string]any{"model": "m0", "version": 1})
	base, err := freeBase(daemons)
	if err != nil {
		return nil, err
	}
	f.basePort = base
	for i := range daemons {
		d := &daemon{name: fmt.Sprintf("front-%d", i+1), ip: ip(i), servers: standin.NewStore()}
		if d.store, err = f.openDoor(d); err != nil {
			return nil, err
		}
		d.callers = f.address(d, callersPort)
		f.daemons = append(f.daemons, d)
	}
	return f, nil
}

// ip returns the loopback address of a machine.
func ip(i int) string { return fmt.Sprintf("127.0.0.%d", 11+i) }

// freeBase returns a port below which the fixed ports of all machines are free.
func freeBase(machines int) (int, error) {
	for base := 21000 + os.Getpid()%1000*10; base < 32000; base += 10 {
		if isFreeBase(base, machines) {
			return base, nil
		}
	}
	return 0, fmt.Errorf("no free ports")
}

func isFreeBase(base, machines int) bool {
	for i := range machines {
		for p := callersPort; p <= peersPort; p++ {
			at := fmt.Sprintf("%s:%d", ip(i), base+p)
			l, err := net.Listen("tcp4", at)
			if err != nil {
				return false
			}
			_ = l.Close()
			u, err := net.ListenPacket("udp4", at)
			if err != nil {
				return false
			}
			_ = u.Close()
		}
	}
	return true
}

func (f *fleet) address(d *daemon, port int) string {
	return fmt.Sprintf("%s:%d", d.ip, f.basePort+port)
}

// openDoor opens a daemon's path to the store. Calls of the list of workers go to the daemon's view of it, all others to the shared store.
func (f *fleet) openDoor(d *daemon) (*frontDoor, error) {
	own, shared := &url.URL{Scheme: "http", Host: d.servers.Serve(nil)}, &url.URL{Scheme: "http", Host: f.sharedAt}
	toOwn, toShared := httputil.NewSingleHostReverseProxy(own), httputil.NewSingleHostReverseProxy(shared)
	door := &frontDoor{}
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch {
		case door.down.Load():
			w.WriteHeader(http.StatusServiceUnavailable)
		case r.URL.Query().Get("topic") == "keyed.servers":
			toOwn.ServeHTTP(w, r)
		default:
			toShared.ServeHTTP(w, r)
		}
	})
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	door.path = &path{target: l.Addr().String(), conns: map[net.Conn]bool{}}
	if err := door.path.open(); err != nil {
		return nil, err
	}
	door.address = door.path.address
	go func() { _ = (&http.Server{Handler: handler, ReadHeaderTimeout: time.Minute}).Serve(l) }()
	return door, nil
}

// setStore makes the store answer all calls with 503, or serve them again. Calls that it holds meanwhile end with what they had.
func (f *fleet) setStore(down bool) {
	f.storeDown.Store(down)
	for _, d := range f.daemons {
		d.store.down.Store(down)
	}
	f.record.logf("store down: %v", down)
}

// start starts all daemons and waits until each is ready.
func (f *fleet) start() error {
	for _, d := range f.daemons {
		if err := f.startDaemon(d); err != nil {
			return err
		}
	}
	deadline := time.Now().Add(15 * time.Second)
	for _, d := range f.daemons {
		for !f.isReady(d) {
			if time.Now().After(deadline) {
				return fmt.Errorf("%s isn't ready", d.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	// The daemons hear of each other, and their first answers tell them of the workers.
	time.Sleep(2 * time.Second)
	return nil
}

func (f *fleet) isReady(d *daemon) bool {
	resp, err := http.Get("http://" + f.address(d, readyPort) + "/api/readiness")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// startDaemon starts a daemon with the settings that the deploy file's template makes for a small deployment.
func (f *fleet) startDaemon(d *daemon) error {
	var seeds []string
	for _, other := range f.daemons[:min(3, len(f.daemons))] {
		seeds = append(seeds, f.address(other, controlPort))
	}
	raw, err := json.Marshal(map[string]any{
		"daemonId": d.name, "failureDomain": "zone-a", "regions": map[string]string{"zone-a": "region"},
		"listen": map[string]string{
			"callers": f.address(d, callersPort), "ready": f.address(d, readyPort), "directory": f.address(d, directoryPort),
			"admin": f.address(d, controlPort), "peers": f.address(d, peersPort),
		},
		"seeds": seeds, "store": d.store.address,
		"resources": map[string]any{"cpuShare": 0.4, "cores": 1, "linkMbps": 1000, "memoryMb": 284, "fileDescriptors": 4200},
		"limits": map[string]any{
			"graceS": graceTime.Seconds(), "fenced": true, "leaseMs": 3000, "weightsMs": 6000, "retryShare": 0.2, "retrySlack": 52,
			"retryWindowS": 10, "directoryTtlS": 5,
		},
	})
	if err != nil {
		return err
	}
	d.settings = filepath.Join(f.dir, d.name+".json")
	if err := os.WriteFile(d.settings, raw, 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(f.dir, d.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	d.cmd = exec.Command("target/gooseberryway", "entry", "--settings", d.settings)
	d.cmd.Stdout, d.cmd.Stderr = log, log
	d.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := d.cmd.Start(); err != nil {
		return err
	}
	d.exited = make(chan struct{})
	go func() {
		_ = d.cmd.Wait()
		_ = log.Close()
		close(d.exited)
	}()
	f.record.logf("%s starts as process %d", d.name, d.cmd.Process.Pid)
	return nil
}

// hasEnded reports whether a daemon's process has ended.
func (d *daemon) hasEnded() bool {
	select {
	case <-d.exited:
		return true
	default:
		return false
	}
}

// stop ends all processes that the fleet started.
func (f *fleet) stop() {
	for _, d := range f.daemons {
		if d.cmd != nil && d.cmd.Process != nil {
			_ = d.cmd.Process.Kill()
			<-d.exited
		}
	}
	for _, w := range f.workers {
		w.close()
	}
}

// manifest returns a small deployment's manifest, with routes of streams that may be resumed and that may not, of unsafe and of safe requests.
func manifest() map[string]any {
	route := func(name, kind, service string, timeout, target, attempts int) map[string]any {
		return map[string]any{
			"name": name, "host": host, "path-prefix": "/" + name + "/", "kind": kind, "timeout-ms": timeout, "target-latency-ms": target,
			"target-gap-ms": 300, "attempts": attempts, "service": service, "priority": 0, "resumable": attempts > 1 && kind == "streaming",
			"session-affinity": kind == "streaming",
		}
	}
	return map[string]any{
		"version": 1,
		"routes": []any{
			route("note", "streaming", "lm-pool", 12000, 300, 2),
			route("draft", "streaming", "lm-pool", 4000, 600, 1),
			route("order", "non_idempotent", "install-app", 1500, 300, 1),
			route("lookup", "idempotent", "install-app", 1500, 300, 2),
		},
		"services": []any{
			map[string]any{
				"name": "lm-pool", "health-check-path": "/health", "max-connections": 360,
				"engine": map[string]any{
					"slots": 64, "kv-capacity": 101817, "kv-token-bytes": 163840, "link-mbps": 2200000,
					"models": []any{map[string]any{"name": "m0"}},
				},
			},
			map[string]any{"name": "install-app", "health-check-path": "/health", "max-connections": 96},
		},
		"limits":  map[string]any{"max-header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
		"tenants": []any{map[string]any{"name": "tenant-a", "keys": []string{key}, "unit": "tokens", "requests-per-s": 1e6, "burst": 1e6, "uncached-tokens": 200}},
	}
}
