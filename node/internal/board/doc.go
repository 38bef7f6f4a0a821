// Package board is what all hosts know of a cell through the platform's store:
// who owns it, which hosts there are, and how far each job has come. The hosts
// that accept jobs and the owner write its rows; each host follows them.
package board
