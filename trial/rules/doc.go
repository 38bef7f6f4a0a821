// Package rules publishes configurations of trials: a file of objects, and
// changes of it.
package rules
