// Package lease holds the arithmetic of terms and task leases. All instants
// are readings of a clock that goes on while the process is suspended, such as
// timer.Service.Boot, so that a holder which slept through its term notices.
package lease
