package daemon

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/gooseberryway/gooseberryway/internal/coordination/moves"
	"github.com/gooseberryway/gooseberryway/internal/state/config"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

func TestSettingsOfThePlatformGoBeforeTheFile(t *testing.T) {
	file := moves.Settings{Steps: []ident.Permille{100, 500, 1000}, MinSamples: 7}
	cases := map[string]struct {
		value string
		want  moves.Settings
	}{
		"none":         {"", file},
		"some fields":  {`{"stepsPermille":[1,1000]}`, moves.Settings{Steps: []ident.Permille{1, 1000}, MinSamples: 7}},
		"not readable": {`{"stepsPermille":[2,"x"]}`, file},
		"not allowed":  {`{"stepsPermille":[2,1]}`, file},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			st := config.NewState()
			if tc.value != "" {
				next, err := st.Apply(1, config.NewRecord("r1", "operator", 0, &config.Setting{Path: movesPath, Value: tc.value}))
				require.NoError(t, err)
				st = next
			}
			require.Equal(t, tc.want, settingOf(st, movesPath, file))
			require.Equal(t, []ident.Permille{100, 500, 1000}, file.Steps, "the settings of the file stay")
		})
	}
}
