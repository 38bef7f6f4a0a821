// Package serve handles the calls of the system's other processes to a placer.
package serve
