package shell

import (
	"io"
	"os"
)

// Streams are where commands read and write.
type Streams struct {
	In       io.Reader
	Out, Err io.Writer
	Terminal bool // Out is a terminal
}

// IsTerminal reports whether f is a terminal.
func IsTerminal(f *os.File) bool {
	info, err := f.Stat()
	return err == nil && info.Mode()&os.ModeCharDevice != 0
}
