//go:build review

package main

import (
	"fmt"
	"os"
	"path/filepath"
	"runtime"
	"slices"
	"time"
)

// cases are the cases by their names. Each reports whether the rule was broken; an error means that it couldn't run.
var cases = map[string]func(dir string, rec *record, trouble bool) (broken bool, err error){
	"burst":   playBurst,
	"gone":    playGone,
	"leaving": playLeaving,
	"limit":   playLimit,
	"repeat":  playRepeat,
	"silent":  playSilent,
}

// longestRun bounds a run.
const longestRun = 110 * time.Second

func main() {
	runtime.LockOSThread()
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: play CASE FOLDER")
		os.Exit(2)
	}
	time.AfterFunc(longestRun, func() {
		fmt.Fprintln(os.Stderr, "the case takes too long")
		// The daemons end with this process.
		os.Exit(2)
	})
	os.Exit(run(os.Args[1], os.Args[2]))
}

func run(name, folder string) int {
	rec, err := newRecord(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	dir, err := os.MkdirTemp("", "play-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	if os.Getenv("KEEP") == "" {
		defer os.RemoveAll(dir)
	}
	trouble := os.Getenv("TROUBLE") != "0"
	rec.logf("case %s, disruption: %v", name, trouble)
	broken, err := cases[name](dir, rec, trouble)
	switch {
	case err != nil:
		rec.logf("could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return 2
	case broken:
		rec.logf("the rule was broken")
		return 1
	default:
		rec.logf("the rule held")
		return 0
	}
}

func sortTimes(times []time.Time) {
	slices.SortFunc(times, func(a, b time.Time) int { return a.Compare(b) })
}
