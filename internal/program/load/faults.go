package load

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"github.com/gooseberryway/gooseberryway/internal/program/local"
	"github.com/gooseberryway/gooseberryway/internal/standin/engine"
	"github.com/gooseberryway/gooseberryway/internal/standin/logsvc"
)

// Fault is something that goes wrong in the middle of a run.
type Fault string

// Faults.
const (
	// FaultEngineCrash: an engine loses all connections and its cache, and returns after two seconds of engine time.
	FaultEngineCrash Fault = "engineCrash"
	// FaultEngineSlow: an engine takes four times as long for the rest of the run.
	FaultEngineSlow Fault = "engineSlow"
	// FaultDaemonCrash: a daemon ends at once and is started again.
	FaultDaemonCrash Fault = "daemonCrash"
	// FaultDaemonsRestart: half of the daemons restart together, gracefully.
	FaultDaemonsRestart Fault = "daemonsRestart"
	// FaultLogDown: the log service does not answer for the middle third of the run.
	FaultLogDown Fault = "logDown"
)

// Faults lists all faults.
func Faults() []Fault {
	return []Fault{FaultEngineCrash, FaultEngineSlow, FaultDaemonCrash, FaultDaemonsRestart, FaultLogDown}
}

const (
	// slowFactor is that of FaultEngineSlow.
	slowFactor = 4
	// crashOutage is how long a crashed engine stays away, in engine time.
	crashOutage = 2 * time.Second
)

// breakThings provokes the faults of the run in its middle, all together.
func (r *run) breakThings(ctx context.Context) {
	if !sleepUntil(ctx, time.Now().Add(r.length/2)) {
		return
	}
	r.faultAt = time.Now()
	for _, f := range r.faults {
		r.provoke(ctx, f)
	}
}

func (r *run) provoke(ctx context.Context, f Fault) {
	engines := r.system.EngineList()
	switch f {
	case FaultEngineCrash:
		engines[0].Crash(r.profile.wall(crashOutage))
	case FaultEngineSlow:
		engines[len(engines)-1].SetFaults(engine.Faults{SlowFactor: slowFactor})
	case FaultDaemonCrash:
		r.system.KillDaemon(0)
		r.system.StartDaemon(0)
	case FaultDaemonsRestart:
		r.restartHalf()
	case FaultLogDown:
		_ = r.system.Log.SetFaults(logsvc.Faults{Mode: logsvc.ModeFailing})
		sleepUntil(ctx, time.Now().Add(r.length/3))
		_ = r.system.Log.SetFaults(logsvc.Faults{Mode: logsvc.ModeUp})
	}
}

func (r *run) restartHalf() {
	done := make(chan struct{}, r.profile.Daemons)
	half := r.profile.Daemons / 2
	for i := range half {
		go func() {
			if err := r.system.StopDaemon(i); err != nil {
				klog.ErrorS(err, "Daemon stopped with an error", "daemon", local.DaemonID(i))
			}
			r.system.StartDaemon(i)
			done <- struct{}{}
		}()
	}
	for range half {
		<-done
	}
}
