package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// The exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// cases holds the cases by name; each plays its disruption only with trouble, and reports whether the rule was broken.
var cases = map[string]func(d *deployment, trouble bool) (bool, error){
	"memory": memoryCase, "storm": stormCase, "poison": poisonCase, "rollout": rolloutCase, "hang": hangCase,
}

func main() {
	os.Exit(run())
}

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE RECORD, in the root of the repository; TROUBLE=0 leaves out the disruption")
		return exitNotRun
	}
	r, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer r.file.Close()
	d, err := newDeployment(r)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer d.close()
	// A case that is stopped ends its processes.
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	go func() {
		<-signals
		d.close()
		os.Exit(exitNotRun)
	}()
	broken, err := cases[os.Args[1]](d, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		r.say("the case could not run: %v", err)
		return exitNotRun
	case broken:
		r.say("BROKEN")
		return exitBroken
	}
	r.say("held")
	return exitHeld
}
