// Package share is how placers tell one another what teams use, so that each
// weighs a team by what it has in the whole fleet. A Summary is small and
// bounded; a View adds up the last ones of all peers.
package share
