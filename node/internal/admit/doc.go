// Package admit decides on a host whether a submitted job is accepted. A job is rejected if it is
// known that its result would be worthless to its client, judged by the owner's forecast. The package
// has no clock, goroutine or I/O.
package admit
