// Package store is the platform's service as the system uses it: a
// transactional table, an object store and a list of hosts that lags. Client
// speaks HTTP to it; Memory is the same thing in memory, with fault switches,
// for tests and stand-ins.
package store
