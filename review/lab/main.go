// Command lab plays the cases of the review: it starts the project's programs and the
// stand-ins as separate processes on loopback, causes the disruption of a case, and checks
// what clients and the platform can see.
package main

import (
	"fmt"
	"os"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0 // the rule held
	exitBroken = 1 // the rule was broken
	exitNotRun = 2 // the case could not run
)

func main() {
	if len(os.Args) < 2 {
		fmt.Fprintln(os.Stderr, "usage: lab state FILE | lab CASE FOLDER")
		os.Exit(exitNotRun)
	}
	if os.Args[1] == "state" {
		serveState(os.Args[2:])
		return
	}
	play, ok := cases[os.Args[1]]
	if !ok || len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "no such case")
		os.Exit(exitNotRun)
	}
	os.Exit(run(play, os.Args[2]))
}

// cases are the cases by name.
var cases = map[string]func(r *trial) (broken bool, err error){
	"restart":     restartAll,
	"site-loss":   siteLoss,
	"spot-wave":   spotWave,
	"daemon-hang": daemonHang,
}

// run plays a case, with its record in folder, and returns the exit code.
func run(play func(r *trial) (bool, error), folder string) int {
	r, err := newTrial(folder, os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer r.end()
	type result struct {
		broken bool
		err    error
	}
	done := make(chan result, 1)
	go func() {
		broken, err := play(r)
		done <- result{broken, err}
	}()
	select {
	case res := <-done:
		switch {
		case res.err != nil:
			r.note("could not run: %v", res.err)
			return exitNotRun
		case res.broken:
			r.note("RESULT: the rule was broken")
			return exitBroken
		}
		r.note("RESULT: the rule held")
		return exitHeld
	case <-time.After(118 * time.Second):
		r.note("could not run: not over in time")
		return exitNotRun
	}
}
