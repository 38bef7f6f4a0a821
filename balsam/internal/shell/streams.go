package shell

import (
	"io"
	"os"
)

// Streams holds the input and the outputs of commands.
type Streams struct {
	In       io.Reader
	Out, Err io.Writer
	Terminal bool // whether Out is a terminal
}

// IsTerminal reports whether f is a character device, as terminals are.
func IsTerminal(f *os.File) bool {
	info, err := f.Stat()
	return err == nil && info.Mode()&os.ModeCharDevice != 0
}
