package daemon

import (
	"encoding/json"

	"k8s.io/klog/v2"

	"github.com/gooseberryway/gooseberryway/internal/program/setup"
	"github.com/gooseberryway/gooseberryway/internal/state/burn"
	"github.com/gooseberryway/gooseberryway/internal/state/config"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

// Paths of settings that all daemons follow.
const (
	// objectivesPath holds the service-level objectives, a burn.Settings.
	objectivesPath ident.Path = "/platform/settings/objectives"
	// movesPath holds the limits of moves, a moves.Settings; without it those of the settings file hold.
	movesPath ident.Path = "/platform/settings/moves"
	// loadsPath holds the limits of weight loads, an orders.Settings; without it those of the settings file hold.
	loadsPath ident.Path = "/platform/settings/loads"
)

// followSettings takes over the settings of the platform.
func (p *parts) followSettings(st *config.State) {
	p.burn.SetSettings(settingOf(st, objectivesPath, burn.Settings{}))
	moves := settingOf(st, movesPath, p.settings.Moves)
	p.moveSettings.Store(&moves)
	loads := settingOf(st, loadsPath, p.settings.Loads)
	p.loadSettings.Store(&loads)
}

// settingOf returns the setting at the path, or the fallback if there is none that is valid.
func settingOf[T any](st *config.State, path ident.Path, fallback T) T {
	setting, ok := st.Entity(path).(*config.Setting)
	if !ok {
		return fallback
	}
	value := copyOf(fallback)
	if err := json.Unmarshal([]byte(setting.Value), &value); err != nil {
		klog.ErrorS(err, "Setting is not valid and not used", "path", path)
		return fallback
	}
	if faults := setup.Validate(&value); len(faults) > 0 {
		klog.ErrorS(&setup.SettingsError{File: string(path), Problems: faults}, "Setting is not valid and not used", "path", path)
		return fallback
	}
	return value
}

// copyOf returns a copy that shares no slice or map with the settings, as decoding JSON writes into those that are there.
func copyOf[T any](settings T) T {
	var value T
	raw, err := json.Marshal(settings)
	if err != nil {
		return value
	}
	_ = json.Unmarshal(raw, &value)
	return value
}
