// Package logs creates the loggers of a process, which write JSON lines, and a
// writer that never blocks its callers.
package logs
