// Package cost measures the processor time, memory and network traffic of the
// system's processes at several deployment sizes. The growth rates in
// docs/CAPACITY.md are computed from its rows.
package cost
