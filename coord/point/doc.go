// Package point is the client of endpoints: executors, which answer short
// requests, and workers, which run tasks under leases. The protocol is HTTP with
// JSON bodies; answers of executors are raw streams.
package point
