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

// settingsPeriod is how often the settings are read again: they may change without a signal.
const settingsPeriod = 5 * time.Second

// watchSettings takes new settings on SIGHUP and from time to time. Only the seeds can change while the daemon runs;
// what else has changed counts from the next start.
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
		case <-time.After(settingsPeriod):
		}
		d.reload(signalled)
	}
}

func (d *Daemon) reload(signalled bool) {
	s, err := d.Reload()
	if err != nil {
		klog.ErrorS(err, "Settings not reloaded, the old ones hold", "daemon", d.Settings.DaemonID)
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
