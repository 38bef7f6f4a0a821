// Package serve answers what the system's other processes ask of a placer.
package serve
