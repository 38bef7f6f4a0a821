package cost

import (
	"os"
	"strconv"
	"strings"
	"time"
)

const (
	// clockTick is the unit of processor time in /proc/PID/stat.
	clockTick = 10 * time.Millisecond
	// pageBytes is the size of a memory page, the unit of resident memory in
	// /proc/PID/stat.
	pageBytes = 4096
	// Indexes of the fields after the program's name in /proc/PID/stat.
	userField, systemField, residentField = 11, 12, 21
	// loopbackField is the index of the received bytes in a line of /proc/net/dev.
	loopbackField = 1
)

// Usage is the resource usage of a process: its processor time since its start
// and its present resident memory.
type Usage struct {
	CPUTime  time.Duration
	Resident int64 // bytes
}

// ReadUsage returns the usage of a process. The error is a *ReadError.
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
		CPUTime:  time.Duration(parseNumber(fields[userField])+parseNumber(fields[systemField])) * clockTick,
		Resident: parseNumber(fields[residentField]) * pageBytes,
	}, nil
}

// LoopbackBytes returns the bytes received on the loopback interface since boot.
// The error is a *ReadError.
func LoopbackBytes() (int64, error) {
	const path = "/proc/net/dev"
	data, err := os.ReadFile(path)
	if err != nil {
		return 0, &ReadError{Path: path, Err: err}
	}
	for _, line := range strings.Split(string(data), "\n") {
		fields := strings.Fields(line)
		if len(fields) > loopbackField && fields[0] == "lo:" {
			return parseNumber(fields[loopbackField]), nil
		}
	}
	return 0, &ReadError{Path: path, Err: os.ErrNotExist}
}

func parseNumber(text string) int64 {
	n, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		return 0
	}
	return n
}

// ReadError reports a file or directory that can't be read or created.
type ReadError struct {
	Path string
	Err  error
}

// Error implements error.
func (e *ReadError) Error() string { return e.Path + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *ReadError) Unwrap() error { return e.Err }
