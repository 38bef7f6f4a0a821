// Package logs makes the logger of a process: JSON lines on standard error.
package logs
