// Command entry is the callers' door of a cell: it takes requests over HTTP,
// checks their keys, sends them to a placer and answers their callers. One
// runs on every entry host.
package main

import "C"

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/gravitational/trace"
	"github.com/integrii/flaggy"

	"github.com/balsamford/balsamford/coord/setup"
	"github.com/balsamford/balsamford/entry/internal/params"
)

// Exit codes.
const (
	exitSettings = 2 // the settings are not in order
	exitFailure  = 1
)

func main() {
	signals := make(chan os.Signal, signalBuffer)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT) // A stop that is asked for from here on is a planned one.
	path := ""
	p := flaggy.NewParser("entry")
	p.Description = "Takes callers' requests over HTTP and sends them to placers."
	p.AdditionalHelpAppend = "\nExample:\n  entry --config entry.toml\n\nStop it with SIGTERM: it finishes what runs. A second SIGTERM ends it at once."
	p.String(&path, "c", "config", "settings file in TOML")
	if err := p.Parse(); err != nil {
		os.Exit(exitSettings)
	}
	settings := params.Default()
	if path == "" {
		_, _ = os.Stderr.WriteString("entry: name the settings file: entry --config entry.toml\n")
		os.Exit(exitSettings)
	}
	if err := setup.Load(path, settings); err != nil {
		_, _ = os.Stderr.WriteString(err.Error() + "\n")
		os.Exit(exitSettings)
	}
	settings.Process.Apply()
	if err := run(settings, signals); err != nil {
		_, _ = os.Stderr.WriteString("entry: " + trace.UserMessage(err) + "\n")
		os.Exit(exitFailure)
	}
}

// run serves until a signal ends it.
func run(settings *params.Settings, signals <-chan os.Signal) error {
	a, err := newApp(settings)
	if err != nil {
		return trace.Wrap(err)
	}
	return trace.Wrap(a.run(context.Background(), signals))
}

// signalBuffer keeps a second signal that comes while the first is handled.
const signalBuffer = 2
