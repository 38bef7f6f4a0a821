// Package serve implements the caller-facing HTTP API. It authenticates keys,
// locates the host that holds a request's record, runs quick requests through
// package relay, accepts jobs through package jobs, and returns the outcomes.
package serve
