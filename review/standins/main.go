//go:build review

// Command standins plays one case of the review: daemons as separate processes before stand-ins of the store, workers and callers.
// It exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// timeLimit is when a case that has not ended is given up; a script may take 120 seconds.
const timeLimit = 117 * time.Second

// scenario plays a case with or without its disruption and returns how often the rule was broken.
type scenario func(rec *recorder, trouble bool) (broken int, err error)

var scenarios = map[string]scenario{
	"resumed": resumed,
	"wall":    wall,
	"keys":    keys,
	"extra":   extra,
	"large":   large,
	"crlf":    crlf,
	"path":    path,
}

func main() {
	play := scenarios[os.Args[1]]
	rec, err := newRecorder(os.Args[2])
	if err != nil || play == nil {
		fmt.Fprintln(os.Stderr, "can't run:", err)
		os.Exit(2)
	}
	go endEarly(rec)
	trouble := os.Getenv("TROUBLE") != "0"
	rec.log("case %s, TROUBLE=%v", os.Args[1], trouble)
	broken, err := play(rec, trouble)
	switch {
	case err != nil:
		rec.log("the case couldn't run: %v", err)
		fmt.Println("couldn't run:", err)
		os.Exit(2)
	case broken > 0:
		rec.log("the rule was broken %d times", broken)
		fmt.Println("rule broken", broken, "times")
		os.Exit(1)
	}
	rec.log("the rule held")
	fmt.Println("rule held")
}

// endEarly ends all processes and the case when it is interrupted or takes too long.
func endEarly(rec *recorder) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	why := "took too long"
	select {
	case s := <-signals:
		why = "got " + s.String()
	case <-time.After(timeLimit):
	}
	rec.log("the case couldn't run: %s", why)
	killAll()
	os.Exit(2)
}
