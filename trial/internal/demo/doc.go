// Package demo runs a small deployment, sends requests of all kinds through it,
// prints a table of the outcomes, and stops the deployment gracefully.
package demo
