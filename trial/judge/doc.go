// Package judge compares what endpoints, callers and the platform saw with
// what the system promises. It is told nothing by the system itself.
package judge
