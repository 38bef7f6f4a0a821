package rig3

import (
	"fmt"
	"os"
	"testing"
)

// outcomes of a case, which are the exit codes of run.sh.
const (
	held   = 0
	broken = 1
	notRun = 2
)

// cases are the scripts, by number. trouble is false for the run without the disruption.
var cases = map[string]func(rec *record, trouble bool) error{}

// TestMain runs the case that CASE names in place of tests.
func TestMain(m *testing.M) {
	f := cases[os.Getenv("CASE")]
	if f == nil {
		os.Exit(m.Run())
	}
	rec, err := newRecord(os.Getenv("RECORD"))
	if err != nil {
		fmt.Println(err)
		os.Exit(notRun)
	}
	if err := f(rec, os.Getenv("TROUBLE") != "0"); err != nil {
		rec.note("couldn't run: %v", err)
		fmt.Println("couldn't run:", err)
		os.Exit(notRun)
	}
	if wrong := rec.faults(); len(wrong) > 0 {
		for _, w := range wrong {
			fmt.Println(w)
		}
		os.Exit(broken)
	}
	rec.note("held")
	fmt.Println("held")
	os.Exit(held)
}
