package setup

import (
	"bytes"
	"errors"
	"os"

	"github.com/pelletier/go-toml/v2"
)

// Checker is implemented by settings structs. Check validates the settings and
// returns their faults, with Key set to the dotted path of the setting.
type Checker interface {
	Check() []Fault
}

// FileChecker is implemented by settings structs that name files. CheckFiles
// validates these files and returns faults as Check does.
type FileChecker interface {
	CheckFiles() []Fault
}

// Load decodes the TOML file at path into dst, which must be a pointer, and
// validates it. If dst is a FileChecker, the files that it names are validated
// too. Unknown keys are faults. The error is a *FileError if the file can't be
// read, and an *InvalidError if its content is invalid.
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

// Parse decodes and validates data as Load does, but doesn't validate the files
// that the settings name. path is used in errors only. The error is an
// *InvalidError.
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

// decodeFaults translates an error of the TOML decoder to faults.
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
