// Command lab2 runs the cases 4 to 8 of the review: it starts the project's own programs as
// separate processes on loopback addresses, plays the users, causes the disruption unless the
// environment variable TROUBLE is 0, and checks one rule. It exits with 1 if the rule was broken,
// with 0 if it held, and with 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// cases are the cases by number. A case returns what broke the rule, "" if it held.
var cases = map[string]func(l *lab) (broken string, err error){
	"4": twiceAcrossSites,
	"5": startedAfterCancellation,
	"6": idleRoomOfGPUMachines,
	"7": idleRoomOfAnotherPartition,
	"8": blamedMachine,
}

func main() {
	os.Exit(run())
}

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: lab2 CASE FOLDER")
		return exitNotRun
	}
	l, err := newLab(os.Args[2], os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer l.close()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	go func() {
		<-signals
		l.close()
		os.Exit(exitNotRun)
	}()
	broken, err := cases[os.Args[1]](l)
	switch {
	case broken != "":
		l.note("BROKEN: %s", broken)
		return exitBroken
	case err != nil:
		l.note("the case could not run: %v", err)
		return exitNotRun
	}
	l.note("the rule held")
	return exitHeld
}
