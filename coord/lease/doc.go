// Package lease computes when ownership terms and task leases expire. All
// points in time are readings of a clock that keeps running while the process
// is suspended, such as timer.Service.Boot, so that a suspended holder notices
// on resuming that its term has expired.
package lease
