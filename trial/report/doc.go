// Package report summarizes a trial: waiting times and outcomes by request kind.
package report
