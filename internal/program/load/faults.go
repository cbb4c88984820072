package load

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"github.com/gooseberryway/gooseberryway/internal/program/local"
	"github.com/gooseberryway/gooseberryway/internal/standin/engine"
	"github.com/gooseberryway/gooseberryway/internal/standin/logsvc"
)

// Fault is a kind of failure that is injected in the middle of a run.
type Fault string

// Faults.
const (
	// FaultEngineCrash: an engine loses all connections and its cache, and is back after two seconds of engine time.
	FaultEngineCrash Fault = "engineCrash"
	// FaultEngineSlow: an engine takes four times as long until the end of the run.
	FaultEngineSlow Fault = "engineSlow"
	// FaultDaemonCrash: a daemon is killed without a drain and started again.
	FaultDaemonCrash Fault = "daemonCrash"
	// FaultDaemonsRestart: half of the daemons restart gracefully at the same time.
	FaultDaemonsRestart Fault = "daemonsRestart"
	// FaultLogDown: the log service fails for a third of the run, from the middle on.
	FaultLogDown Fault = "logDown"
)

// Faults lists all faults.
func Faults() []Fault {
	return []Fault{FaultEngineCrash, FaultEngineSlow, FaultDaemonCrash, FaultDaemonsRestart, FaultLogDown}
}

const (
	// engineSlowFactor is how many times as long a FaultEngineSlow engine takes.
	engineSlowFactor = 4
	// engineCrashOutage is how long a crashed engine is unreachable, in engine time.
	engineCrashOutage = 2 * time.Second
)

// injectFaults injects the faults of the run one after the other, the first in its middle.
func (r *run) injectFaults(ctx context.Context) {
	if !sleepUntil(ctx, time.Now().Add(r.duration/2)) {
		return
	}
	r.faultAt = time.Now()
	for _, f := range r.faults {
		r.injectFault(ctx, f)
	}
}

func (r *run) injectFault(ctx context.Context, f Fault) {
	engines := r.system.EngineList()
	switch f {
	case FaultEngineCrash:
		engines[0].Crash(r.profile.wallTime(engineCrashOutage))
	case FaultEngineSlow:
		engines[len(engines)-1].SetFaults(engine.Faults{SlowFactor: engineSlowFactor})
	case FaultDaemonCrash:
		r.system.KillDaemon(0)
		r.system.StartDaemon(0)
	case FaultDaemonsRestart:
		r.restartHalfOfDaemons()
	case FaultLogDown:
		_ = r.system.Log.SetFaults(logsvc.Faults{Mode: logsvc.ModeFailing})
		sleepUntil(ctx, time.Now().Add(r.duration/3))
		_ = r.system.Log.SetFaults(logsvc.Faults{Mode: logsvc.ModeUp})
	}
}

func (r *run) restartHalfOfDaemons() {
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
