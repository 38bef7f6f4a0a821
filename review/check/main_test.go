package check

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"testing"
	"time"
)

// cases are the cases by the number of their folder. Each returns whether the rule was broken;
// an error means that the case couldn't run.
var cases = map[string]func(p *platform, trouble bool) (bool, error){}

// TestMain runs the case that the environment names: CASE, TROUBLE, RECORD (the path of
// record.txt) and NODE (the program).
func TestMain(_ *testing.M) {
	os.Exit(runCase())
}

func runCase() int {
	name, trouble := os.Getenv("CASE"), os.Getenv("TROUBLE") != "0"
	f, err := os.Create(os.Getenv("RECORD"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer f.Close()
	rec := &record{began: time.Now(), file: f}
	run := cases[name]
	binary, err := filepath.Abs(os.Getenv("NODE"))
	if run == nil || err != nil {
		fmt.Fprintln(os.Stderr, "no such case, or no program")
		return 2
	}
	dir := os.Getenv("KEEP")
	if dir == "" {
		if dir, err = os.MkdirTemp("", "review"); err != nil {
			return 2
		}
		defer os.RemoveAll(dir)
	}
	rec.add("case %s, disruption: %v", name, trouble)
	p := newPlatform(rec, binary, dir)
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	go func() {
		<-signals
		rec.add("stopped by a signal")
		p.end()
		os.Exit(2)
	}()
	broken, err := run(p, trouble)
	p.end()
	switch {
	case err != nil:
		rec.add("the case couldn't run: %v", err)
		fmt.Println("couldn't run:", err)
		return 2
	case broken:
		rec.add("the rule is BROKEN")
		fmt.Println("broken")
		return 1
	}
	rec.add("the rule held")
	fmt.Println("held")
	return 0
}
