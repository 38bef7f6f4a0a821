// Package meter serves a process's metrics, health and readiness over HTTP.
package meter
