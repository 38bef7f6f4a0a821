// Package board holds the state of a cell that all hosts share through the platform's
// store: the owner, the registered hosts, and the accepted jobs with their phases and
// cancellations. The hosts that accept jobs and the owner write the rows; every host
// watches the tables and keeps a copy in memory.
package board
