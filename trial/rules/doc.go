// Package rules publishes the configuration of a trial: first all objects of a
// file, then changes to single objects.
package rules
