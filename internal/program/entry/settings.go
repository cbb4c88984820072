package entry

import (
	"context"
	"os"
	"os/signal"
	"reflect"
	"syscall"
	"time"

	"k8s.io/klog/v2"
)

// settingsReloadPeriod is how often the settings are read again, as they may change without a signal.
const settingsReloadPeriod = 5 * time.Second

// watchSettings reloads the settings on SIGHUP and every settingsReloadPeriod. Only changes of the seeds take effect
// while the daemon runs; all others take effect at its next start.
func (d *Daemon) watchSettings(ctx context.Context) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	defer signal.Stop(signals)
	if d.Reload == nil {
		<-ctx.Done()
		return
	}
	for {
		signalled := false
		select {
		case <-ctx.Done():
			return
		case <-signals:
			signalled = true
		case <-time.After(settingsReloadPeriod):
		}
		d.reload(signalled)
	}
}

func (d *Daemon) reload(signalled bool) {
	s, err := d.Reload()
	if err != nil {
		klog.ErrorS(err, "Settings can't be reloaded, the previous ones stay in force", "daemon", d.Settings.DaemonID)
		return
	}
	if old := d.seeds.Load(); !reflect.DeepEqual(*old, s.Seeds) {
		d.seeds.Store(&s.Seeds)
		klog.InfoS("Seeds reloaded", "seeds", s.Seeds)
	}
	if signalled {
		klog.InfoS("Settings reloaded", "daemon", d.Settings.DaemonID, "listenChanged", s.Listen != d.Settings.Listen)
	}
}
