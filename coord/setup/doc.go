// Package setup reads a program's settings from TOML and reports everything
// that is wrong with them at once, each fault by key and line.
package setup
