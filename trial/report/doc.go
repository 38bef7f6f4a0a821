// Package report sums a run up: waiting times and outcomes by kind.
package report
