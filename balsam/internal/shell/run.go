package shell

import (
	"context"
	"errors"
	"fmt"

	"github.com/integrii/flaggy"

	"github.com/balsamford/balsamford/coord/admin"
	"github.com/balsamford/balsamford/coord/config"
)

const helpText = `

Doors and keys come from flags, from BALSAM_DOOR, BALSAM_ENTRY, BALSAM_KEY,
BALSAM_AUTHORITY and BALSAM_OUTPUT, or from a TOML file named by --config or
BALSAM_CONFIG with the keys door, entry, key, authority and output. A key is
a secret, or "@" and the path of a file that holds one.

Examples:
  balsam key shop-1
  balsam check shop.toml
  balsam publish deploy/ --wait
  balsam set limit.toml
  balsam audit --object key. --since 72h`

// command is a subcommand and the function that runs it.
type command struct {
	sub *flaggy.Subcommand
	run func(context.Context) error
}

// app holds the state of one invocation.
type app struct {
	streams      Streams
	settings     settings
	settingsPath string // empty if --config isn't given
	commands     []command
}

// Run executes the command line args and returns the exit code. It exits the process
// itself for help (with OK) and for invalid flags (with Usage).
func Run(ctx context.Context, args []string, s Streams, getenv func(string) string) Code {
	a := &app{streams: s}
	p := flaggy.NewParser("balsam")
	p.Description = "operates balsamford, a cluster scheduler for unlike work"
	p.AdditionalHelpAppend = helpText
	p.DisableShowVersionWithVersion()
	p.ShowCompletion = false
	p.String(&a.settingsPath, "c", "config", "settings file (TOML)")
	p.String(&a.settings.Door, "d", "door", "operators' door, an IP number with a port")
	p.String(&a.settings.Entry, "e", "entry", "callers' door, an IP number with a port")
	p.String(&a.settings.Key, "k", "key", "secret, or @FILE")
	p.String(&a.settings.Authority, "a", "authority", "PEM file of the authority that signed the door's certificate")
	p.String(&a.settings.Output, "o", "output", "table or json")
	a.addObjectCommands(p)
	a.addReadCommands(p)
	a.addHostCommands(p)
	a.addRequestCommands(p)
	a.addTraceCommand(p)
	if err := p.ParseArgs(args); err != nil {
		return a.report(&UsageError{Text: err.Error() + `; see "balsam --help"`})
	}
	if err := a.settings.load(a.settingsPath, getenv); err != nil {
		return a.report(err)
	}
	for _, c := range a.commands {
		if c.sub.Used {
			return a.report(c.run(ctx))
		}
	}
	p.ShowHelp()
	return Usage
}

// addCommand attaches a subcommand to the parser.
func (a *app) addCommand(p *flaggy.Parser, name, about, examples string, run func(context.Context) error) *flaggy.Subcommand {
	sub := flaggy.NewSubcommand(name)
	sub.Description = about
	if examples != "" {
		sub.AdditionalHelpAppend = "\n\nExamples:\n" + examples
	}
	p.AttachSubcommand(sub, 1)
	a.commands = append(a.commands, command{sub: sub, run: run})
	return sub
}

func (a *app) json() bool { return a.settings.Output == outputJSON }

// report prints err, unless it is nil or an *ExitError, and returns its exit code.
func (a *app) report(err error) Code {
	code := codeOf(err)
	var exit *ExitError
	if err == nil || errors.As(err, &exit) {
		return code
	}
	var failure *admin.Failure
	if errors.As(err, &failure) && a.json() {
		a.printJSON(failure)
		return code
	}
	_, _ = fmt.Fprintln(a.streams.Err, "balsam: "+err.Error())
	a.explain(err)
	return code
}

// explain prints the details of an *admin.Failure and how to proceed.
func (a *app) explain(err error) {
	var failure *admin.Failure
	if !errors.As(err, &failure) {
		return
	}
	for _, f := range failure.Faults {
		_, _ = fmt.Fprintln(a.streams.Err, f.String())
	}
	if c := failure.Conflict; c != nil {
		_, _ = fmt.Fprintf(a.streams.Err, "changed since version %d:\n", c.Base)
		a.printChanges(a.streams.Err, c.Theirs)
		_, _ = fmt.Fprintln(a.streams.Err, "your change:")
		a.printChanges(a.streams.Err, c.Yours)
	}
	switch failure.Code {
	case admin.CodeUnknown:
		if failure.ID != "" {
			_, _ = fmt.Fprintf(a.streams.Err, "run the same command again with --id %s\n", failure.ID)
		}
	case admin.CodeConflict:
		_, _ = fmt.Fprintln(a.streams.Err, "run balsam diff, then publish again on the newest version")
	case admin.CodeStale, admin.CodeUnavailable:
		_, _ = fmt.Fprintln(a.streams.Err, "nothing was done; try again, or another host's door")
	default:
	}
}

// checkFaults returns a *config.InvalidError if any of the faults is an error. If all
// are warnings it prints them and returns nil.
func (a *app) checkFaults(faults []config.Fault) error {
	if len(config.Errors(faults)) == 0 {
		for _, f := range faults {
			_, _ = fmt.Fprintln(a.streams.Err, f.String())
		}
		return nil
	}
	return &config.InvalidError{Faults: faults}
}
