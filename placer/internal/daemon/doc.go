// Package daemon puts the parts of a placer together, runs them and stops
// them in order.
package daemon
