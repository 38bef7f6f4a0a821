// Package serve answers callers' requests: it checks keys, finds the host
// that holds a request's record, runs requests through package relay, accepts
// jobs through package jobs, and tells callers the outcome.
package serve
