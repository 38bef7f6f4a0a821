// Package daemon assembles the parts of a placer, runs them and stops them.
package daemon
