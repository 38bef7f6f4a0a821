package shell

import (
	"os"
	"strings"

	"github.com/balsamford/balsamford/balsam/internal/remote"
	"github.com/balsamford/balsamford/coord/setup"
)

const (
	outputTable = "table"
	outputJSON  = "json"
)

// settings holds the addresses of the APIs and how to use them. Flags take precedence
// over the environment, and the environment over the settings file.
type settings struct {
	Door      string `toml:"door"`      // address of the operators' API
	Entry     string `toml:"entry"`     // address of the callers' API
	Key       string `toml:"key"`       // secret, or "@" and the path of a file with it
	Authority string `toml:"authority"` // path of a PEM file; HTTPS is used if it is set
	Output    string `toml:"output"`
}

// Check implements setup.Checker.
func (s *settings) Check() []setup.Fault {
	var faults []setup.Fault
	if s.Door != "" {
		faults = append(faults, setup.Address("door", s.Door)...)
	}
	if s.Entry != "" {
		faults = append(faults, setup.Address("entry", s.Entry)...)
	}
	switch s.Output {
	case "", outputTable, outputJSON:
	default:
		faults = append(faults, setup.Fault{Key: "output", Text: `not an output; write "table" or "json"`})
	}
	return faults
}

// load sets the settings that no flag has set, from the environment and then from the
// settings file, whose path is path or BALSAM_CONFIG.
func (s *settings) load(path string, getenv func(string) string) error {
	var file settings
	if path == "" {
		path = getenv("BALSAM_CONFIG")
	}
	if path != "" {
		if err := setup.Load(path, &file); err != nil {
			return err
		}
	}
	for _, f := range []struct {
		to        *string
		env, from string
	}{
		{&s.Door, "BALSAM_DOOR", file.Door},
		{&s.Entry, "BALSAM_ENTRY", file.Entry},
		{&s.Key, "BALSAM_KEY", file.Key},
		{&s.Authority, "BALSAM_AUTHORITY", file.Authority},
		{&s.Output, "BALSAM_OUTPUT", file.Output},
	} {
		if *f.to == "" {
			*f.to = getenv(f.env)
		}
		if *f.to == "" {
			*f.to = f.from
		}
	}
	if faults := s.Check(); len(faults) > 0 {
		return &setup.InvalidError{Path: "settings", Faults: faults}
	}
	return s.readKey()
}

// readKey replaces a Key of the form "@FILE" by the content of that file.
func (s *settings) readKey() error {
	path, ok := strings.CutPrefix(s.Key, "@")
	if !ok {
		return nil
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return &setup.FileError{Path: path, Err: err}
	}
	s.Key = strings.TrimSpace(string(data))
	return nil
}

// operatorClient returns a client of the operators' API, which always needs a key.
func (s *settings) operatorClient() (*remote.Client, error) {
	if s.Door == "" {
		return nil, &UsageError{Text: "no operators' door; give --door ADDRESS or set BALSAM_DOOR"}
	}
	if s.Key == "" {
		return nil, &UsageError{Text: "no key; set BALSAM_KEY to an operator's secret, or to @FILE"}
	}
	return remote.New(s.Door, s.Key, s.Authority, remote.OperatorReadTimeout)
}

// callerClient returns a client of the callers' API. The key is optional, since queues
// that are open to everyone need none. There is no read timeout, since a response comes
// only once the request has ended.
func (s *settings) callerClient() (*remote.Client, error) {
	if s.Entry == "" {
		return nil, &UsageError{Text: "no callers' door; give --entry ADDRESS or set BALSAM_ENTRY"}
	}
	return remote.New(s.Entry, s.Key, s.Authority, 0)
}
