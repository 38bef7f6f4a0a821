// Package jobs accepts batch, service and gang requests. It writes each job as a
// row of the platform's table. While the platform is unavailable, two entry hosts
// in different zones hold the job in memory until the row can be written.
package jobs
