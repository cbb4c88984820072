//go:build review

package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"runtime"
	"slices"
	"sync/atomic"
	"syscall"
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
		giveUp()
	})
	ended := make(chan os.Signal, 1)
	signal.Notify(ended, os.Interrupt, syscall.SIGTERM)
	go func() {
		<-ended
		giveUp()
	}()
	os.Exit(run(os.Args[1], os.Args[2]))
}

// folderOfRun is the temporary folder of the run.
var folderOfRun atomic.Value

// giveUp ends the process, and with it the daemons.
func giveUp() {
	if dir, ok := folderOfRun.Load().(string); ok && os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(dir)
	}
	os.Exit(2)
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
	folderOfRun.Store(dir)
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
