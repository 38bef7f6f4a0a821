// Command node runs balsamford on the users' platform, as one process on each host. It
// accepts clients' jobs, and schedules the jobs of the whole cell while its host is the
// owner.
package main

import "C"

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/gravitational/trace"
	"github.com/integrii/flaggy"

	"github.com/balsamford/balsamford/platform"
)

// Exit codes.
const (
	exitSettings = 2 // invalid arguments or settings
	exitFailure  = 1
)

// signalBuffer is the number of signals that are kept while another one is handled.
const signalBuffer = 4

func main() {
	signals := make(chan os.Signal, signalBuffer)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	path := platform.SettingsPath()
	p := flaggy.NewParser("node")
	p.Description = "Takes clients' jobs and runs them on the platform's executors."
	p.AdditionalHelpAppend = "\nStop it with SIGTERM: it hands over what it owns and answers all clients."
	p.String(&path, "c", "config", "settings file of the platform")
	if err := p.Parse(); err != nil {
		os.Exit(exitSettings)
	}
	settings, err := platform.LoadSettings(path)
	if err != nil {
		_, _ = os.Stderr.WriteString(err.Error() + "\n")
		os.Exit(exitSettings)
	}
	if err := run(path, settings, signals); err != nil {
		_, _ = os.Stderr.WriteString("node: " + trace.UserMessage(err) + "\n")
		os.Exit(exitFailure)
	}
}

// run runs the app until a signal stops it.
func run(path string, settings *platform.Settings, signals <-chan os.Signal) error {
	a, err := newApp(path, settings)
	if err != nil {
		return trace.Wrap(err)
	}
	return trace.Wrap(a.run(context.Background(), signals))
}
