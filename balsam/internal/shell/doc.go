// Package shell holds the commands of the command line: their flags, what they
// ask of the doors, how they print answers and the exit codes they end with.
package shell
