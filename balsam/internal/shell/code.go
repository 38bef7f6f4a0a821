package shell

// Code is an exit code of the process. The codes are stable, since scripts match them;
// docs/CONFIG.md lists them.
type Code int

// The exit codes.
const (
	OK          Code = 0
	Other       Code = 1  // an error without a code of its own
	Usage       Code = 2  // the command line, the settings or the request are invalid
	Invalid     Code = 3  // the objects are invalid
	Conflict    Code = 4  // a newer version was published since the base version
	Refused     Code = 5  // the key is invalid, or lacks permission
	Unavailable Code = 6  // nothing was done: the API or the platform doesn't answer, or the host's configuration isn't confirmed
	Unknown     Code = 7  // it is unknown whether the change was made, or the request's outcome is unknown
	Waiting     Code = 8  // published, but not confirmed in force everywhere
	Missing     Code = 9  // the object, version, request or job doesn't exist
	Failed      Code = 10 // the request ran and failed
	NotRun      Code = 11 // the request was not run
)
