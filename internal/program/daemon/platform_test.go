package daemon

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/gooseberryway/gooseberryway/internal/coordination/moves"
	"github.com/gooseberryway/gooseberryway/internal/state/config"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

// Guards against an invalid platform setting replacing the settings file, and against decoding a setting into its slices.
func TestPlatformSettingsOverrideSettingsFile(t *testing.T) {
	fileSettings := moves.Settings{Steps: []ident.Permille{100, 500, 1000}, MinSamples: 7}
	cases := map[string]struct {
		value string
		want  moves.Settings
	}{
		"no setting":       {"", fileSettings},
		"some fields set":  {`{"stepsPermille":[1,1000]}`, moves.Settings{Steps: []ident.Permille{1, 1000}, MinSamples: 7}},
		"wrong type":       {`{"stepsPermille":[2,"x"]}`, fileSettings},
		"fails validation": {`{"stepsPermille":[2,1]}`, fileSettings},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			st := config.NewState()
			if tc.value != "" {
				next, err := st.Apply(1, config.NewRecord("r1", "operator", 0, &config.Setting{Path: movesPath, Value: tc.value}))
				require.NoError(t, err)
				st = next
			}
			require.Equal(t, tc.want, settingOf(st, movesPath, fileSettings))
			require.Equal(t, []ident.Permille{100, 500, 1000}, fileSettings.Steps, "the settings of the file must not change")
		})
	}
}
