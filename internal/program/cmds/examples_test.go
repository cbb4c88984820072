package cmds

import (
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/gooseberryway/gooseberryway/internal/program/setup"
)

// Guards against example settings files that the settings of the daemon or of a stand-in no longer accept.
func TestExampleSettingsAreValid(t *testing.T) {
	configs := map[string]func() standinConfig{}
	for _, kind := range standinKinds() {
		configs[kind.name] = kind.config
	}
	configs["bookings"] = configs["plain"]
	files, err := filepath.Glob("../../../examples/processes/*.json")
	require.NoError(t, err)
	require.NotEmpty(t, files)
	for _, file := range files {
		name, _, _ := strings.Cut(strings.TrimSuffix(filepath.Base(file), ".json"), "-")
		if name == "daemon" {
			_, err := setup.Load(file)
			require.NoError(t, err)
			continue
		}
		require.Contains(t, configs, name)
		require.NoError(t, setup.LoadInto(file, configs[name]()), file)
	}
}
