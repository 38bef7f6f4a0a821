// Package cost measures what the system's processes use at several sizes:
// processor time, memory and bytes. From its rows the slopes of
// docs/CAPACITY.md are worked out.
package cost
