// Package whole has end-to-end tests that run the built programs as processes.
package whole
