// Package calls is a client of the entries' HTTP interface for callers.
package calls
