package daemon

import (
	"encoding/json"

	"k8s.io/klog/v2"

	"github.com/gooseberryway/gooseberryway/internal/program/setup"
	"github.com/gooseberryway/gooseberryway/internal/state/burn"
	"github.com/gooseberryway/gooseberryway/internal/state/config"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

// Paths of platform settings, which apply to all daemons.
const (
	// objectivesPath holds the service-level objectives, a burn.Settings.
	objectivesPath ident.Path = "/platform/settings/objectives"
	// movesPath holds the limits of moves, a moves.Settings. It overrides the settings file.
	movesPath ident.Path = "/platform/settings/moves"
	// loadsPath holds the limits of weight loads, an orders.Settings. It overrides the settings file.
	loadsPath ident.Path = "/platform/settings/loads"
)

// followSettings applies the platform settings of a configuration state.
func (c *components) followSettings(st *config.State) {
	c.burn.SetSettings(settingOf(st, objectivesPath, burn.Settings{}))
	moves := settingOf(st, movesPath, c.settings.Moves)
	c.moveSettings.Store(&moves)
	loads := settingOf(st, loadsPath, c.settings.Loads)
	c.loadSettings.Store(&loads)
}

// settingOf returns the setting at the path, or the fallback if the setting is missing or invalid. Fields that the setting
// omits keep the value of the fallback.
func settingOf[T any](st *config.State, path ident.Path, fallback T) T {
	setting, ok := st.Entity(path).(*config.Setting)
	if !ok {
		return fallback
	}
	value := deepCopy(fallback)
	if err := json.Unmarshal([]byte(setting.Value), &value); err != nil {
		klog.ErrorS(err, "Platform setting is invalid and ignored", "path", path)
		return fallback
	}
	if problems := setup.Validate(&value); len(problems) > 0 {
		klog.ErrorS(&setup.SettingsError{File: string(path), Problems: problems}, "Platform setting is invalid and ignored", "path", path)
		return fallback
	}
	return value
}

// deepCopy returns a copy that shares no slice or map with the settings. Decoding JSON into a shallow copy would overwrite
// the elements of the original.
func deepCopy[T any](settings T) T {
	var value T
	raw, err := json.Marshal(settings)
	if err != nil {
		return value
	}
	_ = json.Unmarshal(raw, &value)
	return value
}
