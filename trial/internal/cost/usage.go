package cost

import (
	"os"
	"strconv"
	"strings"
	"time"
)

const (
	// tick is the unit of processor time in the kernel's process table.
	tick = 10 * time.Millisecond
	// pageBytes is the size of a page of memory.
	pageBytes = 4096
	// Positions of fields in /proc/PID/stat behind the program's name.
	userField, systemField, residentField = 11, 12, 21
	// loopbackField is the position of the bytes received in /proc/net/dev.
	loopbackField = 1
)

// Usage is what a process has used so far.
type Usage struct {
	CPUTime  time.Duration
	Resident int64 // bytes
}

// Read returns the usage of a process. The error is a *ReadError.
func ReadUsage(pid int) (Usage, error) {
	path := "/proc/" + strconv.Itoa(pid) + "/stat"
	data, err := os.ReadFile(path)
	if err != nil {
		return Usage{}, &ReadError{Path: path, Err: err}
	}
	text := string(data)
	fields := strings.Fields(text[strings.LastIndexByte(text, ')')+1:])
	if len(fields) <= residentField {
		return Usage{}, &ReadError{Path: path, Err: strconv.ErrSyntax}
	}
	return Usage{
		CPUTime:  time.Duration(number(fields[userField])+number(fields[systemField])) * tick,
		Resident: number(fields[residentField]) * pageBytes,
	}, nil
}

// Loopback returns the bytes that the loopback interface has carried.
func LoopbackBytes() (int64, error) {
	const path = "/proc/net/dev"
	data, err := os.ReadFile(path)
	if err != nil {
		return 0, &ReadError{Path: path, Err: err}
	}
	for _, line := range strings.Split(string(data), "\n") {
		fields := strings.Fields(line)
		if len(fields) > loopbackField && fields[0] == "lo:" {
			return number(fields[loopbackField]), nil
		}
	}
	return 0, &ReadError{Path: path, Err: os.ErrNotExist}
}

func number(text string) int64 {
	n, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		return 0
	}
	return n
}

// ReadError reports a kernel table that can't be read.
type ReadError struct {
	Path string
	Err  error
}

// Error implements error.
func (e *ReadError) Error() string { return e.Path + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *ReadError) Unwrap() error { return e.Err }
