// Package jobs accepts batch, service and gang requests: as rows of the
// platform's table, or, while the platform is away, on two entry hosts in
// different zones until the rows can be written.
package jobs
