// Package peers asks the placement adviser through all hosts of a cell: the
// adviser takes the questions of one host in turn, so that they are spread over
// the hosts, each to the one whose turn comes first.
package peers
