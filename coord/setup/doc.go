// Package setup reads a program's settings from TOML. It validates them and
// reports all faults at once, each with its key and line.
package setup
