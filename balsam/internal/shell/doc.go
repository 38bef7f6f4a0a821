// Package shell implements the commands of balsam: their flags, their API requests,
// their output and their exit codes.
package shell
