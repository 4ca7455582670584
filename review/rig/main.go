//go:build review

package main

import (
	"fmt"
	"os"
	"time"
)

// A case returns whether the rule was broken, or an error if it could not run.
type caseFunc func(rec *record, trouble bool) (broken bool, err error)

var cases = map[string]caseFunc{
	"empty-order-repeated": emptyOrderRepeated,
	"leave-forgotten":      leaveForgotten,
	"encoded-slash":        encodedSlash,
	"endless-health":       endlessHealth,
	"growth":               growth,
	"old-leave":            oldLeave,
	"revoke-cuts-answers":  revokeCutsAnswers,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-rig CASE RECORD")
		os.Exit(2)
	}
	f, err := os.Create(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	rec := &record{f: f, start: time.Now()}
	broken, err := cases[os.Args[1]](rec, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		rec.log("could not run: %v", err)
		fmt.Println("could not run:", err)
		os.Exit(2)
	case broken:
		rec.log("rule broken")
		fmt.Println("rule broken")
		os.Exit(1)
	}
	rec.log("rule held")
	fmt.Println("rule held")
}
