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

// settings say which doors to use. They come from a file, the environment and
// flags, each going before the one named earlier.
type settings struct {
	Door      string `toml:"door"`      // operators' door
	Entry     string `toml:"entry"`     // callers' door
	Key       string `toml:"key"`       // secret, or "@" and the path of a file that holds it
	Authority string `toml:"authority"` // PEM file; HTTPS if set
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

// load fills in what flags left open, from the environment and the file that
// path or BALSAM_CONFIG names.
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

// operators returns a client of the operators' door.
func (s *settings) operators() (*remote.Client, error) {
	if s.Door == "" {
		return nil, &UsageError{Text: "no operators' door; give --door ADDRESS or set BALSAM_DOOR"}
	}
	if s.Key == "" {
		return nil, &UsageError{Text: "no key; set BALSAM_KEY to an operator's secret, or to @FILE"}
	}
	return remote.New(s.Door, s.Key, s.Authority, remote.Patience)
}

// callers returns a client of the callers' door. Open queues need no key.
func (s *settings) callers() (*remote.Client, error) {
	if s.Entry == "" {
		return nil, &UsageError{Text: "no callers' door; give --entry ADDRESS or set BALSAM_ENTRY"}
	}
	return remote.New(s.Entry, s.Key, s.Authority, 0)
}
