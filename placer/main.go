// Command placer owns endpoints of its availability zone, schedules requests on
// them and drives jobs.
package main

import "C"

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/integrii/flaggy"
	"golang.org/x/sync/errgroup"

	"github.com/balsamford/balsamford/coord/setup"
	"github.com/balsamford/balsamford/placer/internal/conf"
	"github.com/balsamford/balsamford/placer/internal/daemon"
)

const (
	exitFailed   = 1 // the placer failed to start or to run
	exitSettings = 2 // the settings are invalid
)

func main() {
	stop, kill, release := signals() // From here on a signal leads to a graceful stop.
	path := "placer.toml"
	flaggy.SetName("placer")
	flaggy.SetDescription("owns endpoints, places requests and drives jobs")
	flaggy.String(&path, "c", "config", "settings file")
	flaggy.Parse()
	code := run(stop, kill, path)
	release()
	os.Exit(code)
}

func run(stop, kill context.Context, path string) int {
	settings := conf.Default()
	if err := setup.Load(path, &settings); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitSettings
	}
	settings.Process.Apply()
	d, err := daemon.New(&settings)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	if err := d.Run(stop, kill); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	return 0
}

// signals returns a context that ends with the first SIGTERM or SIGINT, for a
// graceful stop, and one that ends with the second, for an immediate stop.
func signals() (stop, kill context.Context, release func()) {
	stop, first := context.WithCancel(context.Background())
	kill, second := context.WithCancel(context.Background())
	in := make(chan os.Signal, 2)
	signal.Notify(in, syscall.SIGTERM, os.Interrupt)
	var g errgroup.Group
	g.Go(func() error {
		for _, end := range []context.CancelFunc{first, second} {
			if _, ok := <-in; !ok {
				return nil
			}
			end()
		}
		return nil
	})
	return stop, kill, func() {
		signal.Stop(in)
		close(in)
		_ = g.Wait()
		first()
		second()
	}
}
