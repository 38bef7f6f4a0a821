// Package load sends requests of all kinds to a deployment and records the
// results that the callers get.
package load
