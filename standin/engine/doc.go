// Package engine is a small endpoint for tests: an executor or a worker that
// behaves as package point describes, with fault switches and a log of its
// own. The log is what tests judge the system by.
package engine
