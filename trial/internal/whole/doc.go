// Package whole tests the built programs together, as processes.
package whole
