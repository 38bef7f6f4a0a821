// Package engine implements an endpoint for tests: an executor or a worker
// that behaves as package point describes, with fault injection. Its event log
// is the evidence by which tests check the scheduler.
package engine
