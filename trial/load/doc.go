// Package load sends requests of all kinds to a deployment and notes what
// their callers were told.
package load
