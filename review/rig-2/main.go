//go:build review

// The program of the cases under review: it starts the processes of a small
// deployment, plays clients, back ends and the operator, and checks one rule.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// Exit statuses of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// cases maps the name of a case to its function. It returns whether the rule was
// broken, or an error if the case could not run.
var cases = map[string]func(f *fleet, trouble bool) (broken bool, err error){}

// size holds the numbers of control and entry hosts of a case.
var size = map[string][2]int{}

func main() { os.Exit(play()) }

func play() int {
	if len(os.Args) != 3 {
		fmt.Println("usage: rig CASE FOLDER")
		return exitNotRun
	}
	name := os.Args[1]
	test, ok := cases[name]
	if !ok {
		fmt.Println("unknown case", name)
		return exitNotRun
	}
	out, err := os.Create(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Println(err)
		return exitNotRun
	}
	defer out.Close()
	rec := &record{w: out, start: time.Now()}
	n, ok := size[name]
	if !ok {
		n = [2]int{5, 2}
	}
	f, err := newFleet(rec, n[0], n[1])
	if err != nil {
		fmt.Println(err)
		return exitNotRun
	}
	defer f.close()
	if name == "replace" {
		f.spare = f.controls[5]
	}
	if err := f.startAll(); err != nil {
		fmt.Println(err)
		return exitNotRun
	}
	trouble := os.Getenv("TROUBLE") != "0"
	rec.printf("case %s, with the disruption: %v", name, trouble)
	broken, err := test(f, trouble)
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
