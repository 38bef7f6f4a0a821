// Package point is how the system speaks with endpoints: executors, which
// answer short requests, and workers, which run tasks under leases. The
// protocol is HTTP with JSON bodies; answers of executors are raw streams.
package point
