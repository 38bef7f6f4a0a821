package shell

import (
	"io"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"github.com/balsamford/balsamford/coord/config"
	"github.com/balsamford/balsamford/coord/setup"
)

// readFiles reads the named files, the *.toml files of named directories (not of their
// subdirectories), and the standard input for "-". Empty names are skipped.
func (a *app) readFiles(names []string) ([]config.File, error) {
	var out []config.File
	for _, name := range names {
		if name == "" {
			continue
		}
		files, err := a.readFile(name)
		if err != nil {
			return nil, &setup.FileError{Path: name, Err: err}
		}
		out = append(out, files...)
	}
	if len(out) == 0 {
		return nil, &UsageError{Text: "no files; name TOML files, a directory of them, or - for the standard input"}
	}
	return out, nil
}

func (a *app) readFile(name string) ([]config.File, error) {
	if name == "-" {
		data, err := io.ReadAll(a.streams.In)
		return []config.File{{Name: "-", Data: data}}, err
	}
	info, err := os.Stat(name)
	if err != nil {
		return nil, err
	}
	if !info.IsDir() {
		data, err := os.ReadFile(name)
		return []config.File{{Name: name, Data: data}}, err
	}
	entries, err := os.ReadDir(name)
	if err != nil {
		return nil, err
	}
	entries = slices.DeleteFunc(entries, func(e os.DirEntry) bool { return e.IsDir() || !strings.HasSuffix(e.Name(), ".toml") })
	out := make([]config.File, 0, len(entries))
	for _, e := range entries {
		path := filepath.Join(name, e.Name())
		data, err := os.ReadFile(path)
		if err != nil {
			return nil, err
		}
		out = append(out, config.File{Name: path, Data: data})
	}
	return out, nil
}
