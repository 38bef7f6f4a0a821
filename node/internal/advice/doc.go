// Package advice calls the placement adviser through all hosts of a cell. The adviser
// handles the requests of one host one at a time, so they are spread over the hosts: each
// goes to the host that is expected to be free first.
package advice
