// Command entry is the API server of a cell. It accepts callers' requests over
// HTTP, authenticates their keys, sends them to placers and returns the
// outcomes. One process runs on every entry host.
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
	exitInvalidSettings = 2 // invalid command line or settings
	exitFailure         = 1
)

func main() {
	signals := make(chan os.Signal, signalBuffer)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT) // A signal that arrives during startup already means a graceful stop.
	path := ""
	p := flaggy.NewParser("entry")
	p.Description = "Takes callers' requests over HTTP and sends them to placers."
	p.AdditionalHelpAppend = "\nExample:\n  entry --config entry.toml\n\nStop it with SIGTERM: it finishes what runs. A second SIGTERM ends it at once."
	p.String(&path, "c", "config", "settings file in TOML")
	if err := p.Parse(); err != nil {
		os.Exit(exitInvalidSettings)
	}
	settings := params.Default()
	if path == "" {
		_, _ = os.Stderr.WriteString("entry: name the settings file: entry --config entry.toml\n")
		os.Exit(exitInvalidSettings)
	}
	if err := setup.Load(path, settings); err != nil {
		_, _ = os.Stderr.WriteString(err.Error() + "\n")
		os.Exit(exitInvalidSettings)
	}
	settings.Process.Apply()
	if err := run(settings, signals); err != nil {
		_, _ = os.Stderr.WriteString("entry: " + trace.UserMessage(err) + "\n")
		os.Exit(exitFailure)
	}
}

// run runs the process until a signal or a failure ends it.
func run(settings *params.Settings, signals <-chan os.Signal) error {
	a, err := newApp(settings)
	if err != nil {
		return trace.Wrap(err)
	}
	return trace.Wrap(a.run(context.Background(), signals))
}

// signalBuffer lets a second signal be buffered while the first is handled.
const signalBuffer = 2
