package shell

// Code is an exit code. Scripts can rely on them; docs/CONFIG.md lists them.
type Code int

// The exit codes.
const (
	OK          Code = 0
	Other       Code = 1  // anything that has no code of its own
	Usage       Code = 2  // the command line or the settings are wrong
	Invalid     Code = 3  // the objects are wrong
	Conflict    Code = 4  // another publish came first
	Refused     Code = 5  // the key isn't in force, or not for this
	Unavailable Code = 6  // nothing was done: a door or the platform doesn't answer, or a host isn't confirmed
	Unknown     Code = 7  // not known whether it was done, or an outcome unknown
	Waiting     Code = 8  // published, and not known to be in force everywhere
	Missing     Code = 9  // there is no such object, version or request
	Failed      Code = 10 // the request ran and failed
	NotRun      Code = 11 // the request was not run
)
