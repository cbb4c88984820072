package cmds

import (
	"io"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestExitCodes(t *testing.T) {
	t.Setenv(envServer, "")
	t.Setenv(envKey, "")
	for args, want := range map[string]int{
		"":                             ExitGood,
		"--help":                       ExitGood,
		"standin":                      ExitGood,
		"key":                          ExitGood,
		"nothing":                      ExitUsage,
		"standin nothing":              ExitUsage,
		"key nothing --server a:1":     ExitUsage,
		"--nothing":                    ExitUsage,
		"serve":                        ExitUsage,
		"check --settings /nothing":    ExitUsage,
		"load --policy best":           ExitUsage,
		"status --server 127.0.0.1:1":  ExitUsage,
		"move create alder girth":      ExitUsage,
		"org list --server a --key k":  ExitFailed,
		"completion bash":              ExitGood,
		"standin log --settings /none": ExitUsage,
	} {
		t.Run(args, func(t *testing.T) {
			require.Equal(t, want, Execute(strings.Fields(args), io.Discard, io.Discard))
		})
	}
}
