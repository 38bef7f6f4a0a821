// Package meter serves the metrics, health and readiness of a process over HTTP,
// and provides a histogram of latencies.
package meter
