// Package calls speaks with entries as their callers do.
package calls
