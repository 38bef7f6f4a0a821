package setup

import (
	"bytes"
	"errors"
	"os"

	"github.com/pelletier/go-toml/v2"
)

// Checker is a settings struct that can check itself. Check returns the
// faults that it finds, with Key set to the dotted path of the setting.
type Checker interface {
	Check() []Fault
}

// FileChecker is a Checker that also looks at the files that its settings
// name. CheckFiles returns faults as Check does.
type FileChecker interface {
	CheckFiles() []Fault
}

// Load reads the file at path into dst, which has to be a pointer, and checks
// it, with the files that it names if dst is a FileChecker. Unknown keys are
// faults. The error is a *FileError if the file can't be read and a
// *InvalidError if its content is wrong.
func Load(path string, dst Checker) error {
	data, err := os.ReadFile(path)
	if err != nil {
		return &FileError{Path: path, Err: err}
	}
	files, ok := dst.(FileChecker)
	if !ok {
		return parse(path, data, dst, dst.Check)
	}
	return parse(path, data, dst, func() []Fault { return append(dst.Check(), files.CheckFiles()...) })
}

// Parse does what Load does for content already read, without the files that
// it names; path is only named in errors.
func Parse(path string, data []byte, dst Checker) error { return parse(path, data, dst, dst.Check) }

func parse(path string, data []byte, dst Checker, check func() []Fault) error {
	dec := toml.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	faults := decodeFaults(dec.Decode(dst))
	if len(faults) == 0 {
		faults = check()
	}
	if len(faults) == 0 {
		return nil
	}
	lines := keyLines(data)
	for i := range faults {
		if faults[i].Line == 0 {
			faults[i].Line = lines.find(faults[i].Key)
		}
	}
	return &InvalidError{Path: path, Faults: faults}
}

func decodeFaults(err error) []Fault {
	if err == nil {
		return nil
	}
	var strict *toml.StrictMissingError
	if errors.As(err, &strict) {
		faults := make([]Fault, 0, len(strict.Errors))
		for i := range strict.Errors {
			row, _ := strict.Errors[i].Position()
			faults = append(faults, Fault{Key: joinKey(strict.Errors[i].Key()), Line: row, Text: "unknown key; remove it or correct its spelling"})
		}
		return faults
	}
	var decode *toml.DecodeError
	if errors.As(err, &decode) {
		row, _ := decode.Position()
		return []Fault{{Key: joinKey(decode.Key()), Line: row, Text: decode.Error()}}
	}
	return []Fault{{Text: err.Error()}}
}
