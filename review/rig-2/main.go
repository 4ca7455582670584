//go:build review

// The program of the cases under review: it starts the processes of a small
// deployment, plays clients, back ends and the operator, and checks one rule.
package main

import (
	"fmt"
	"os"
	"time"
)

// Exit statuses of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// testCase is a case under review: the size of its deployment, and a function that
// returns whether the rule was broken, or an error if the case could not run.
type testCase struct {
	run               func(f *fleet, trouble bool) (broken bool, err error)
	controls, entries int
	// spares is how many of the control hosts are not started with the others.
	spares int
}

// cases holds the cases by name.
var cases = map[string]testCase{
	"replace": {run: replaceCore, controls: 6, entries: 2, spares: 1},
	"revoke":  {run: revoke, controls: 5, entries: 2},
	"rename":  {run: renameTenant, controls: 5, entries: 2},
	"prefix":  {run: prefix, controls: 5, entries: 2},
	"foreign": {run: foreign, controls: 5, entries: 2},
}

func main() { os.Exit(play()) }

func play() int {
	if len(os.Args) != 3 {
		fmt.Println("usage: review-rig-2 CASE RECORD")
		return exitNotRun
	}
	name := os.Args[1]
	test, ok := cases[name]
	if !ok {
		fmt.Println("unknown case", name)
		return exitNotRun
	}
	out, err := os.Create(os.Args[2])
	if err != nil {
		fmt.Println(err)
		return exitNotRun
	}
	defer out.Close()
	rec := &record{w: out, start: time.Now()}
	f, err := newFleet(rec, test.controls, test.entries)
	if err != nil {
		fmt.Println(err)
		return exitNotRun
	}
	defer f.close()
	if err := f.startAll(test.controls - test.spares); err != nil {
		fmt.Println(err)
		return exitNotRun
	}
	trouble := os.Getenv("TROUBLE") != "0"
	rec.printf("case %s, with the disruption: %v", name, trouble)
	broken, err := test.run(f, trouble)
	switch {
	case err != nil:
		rec.printf("the case could not run: %v", err)
		fmt.Println("could not run:", err)
		return exitNotRun
	case broken:
		rec.printf("the rule was broken")
		fmt.Println("the rule was broken")
		return exitBroken
	default:
		rec.printf("the rule held")
		fmt.Println("the rule held")
		return exitHeld
	}
}
