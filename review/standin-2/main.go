package main

import (
	"errors"
	"flag"
	"fmt"
	"os"
)

// The exit codes of a case.
const (
	codeHeld   = 0
	codeBroken = 1
	codeNotRun = 2
)

// play is one case; it returns whether the rule was broken.
type play func(w *world, trouble bool) (bool, error)

var plays = map[string]play{
	"cold":  playCold,
	"drill": playDrill,
	"limit": playLimit,
	"crash": playCrash,
}

func main() {
	name := flag.String("case", "", "the case to play")
	root := flag.String("root", ".", "the root of the repository")
	program := flag.String("program", "", "the program under review; target/kingcupturn if empty")
	record := flag.String("record", "record.txt", "the file for the record")
	flag.Parse()
	os.Exit(playCase(*name, *root, *program, *record, os.Getenv("TROUBLE") != "0"))
}

func playCase(name, root, program, record string, trouble bool) int {
	p, ok := plays[name]
	if !ok {
		fmt.Fprintln(os.Stderr, "unknown case", name)
		return codeNotRun
	}
	w, err := newWorld(root, program, record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return codeNotRun
	}
	defer w.close()
	w.say("case %s, disruption %t", name, trouble)
	broken, err := p(w, trouble)
	switch {
	case err != nil:
		w.say("not run: %v", err)
		if !errors.Is(err, errSetup) {
			fmt.Fprintln(os.Stderr, err)
		}
		return codeNotRun
	case broken:
		w.say("the rule was broken")
		return codeBroken
	}
	w.say("the rule held")
	return codeHeld
}
