// Package store gives access to the platform's services: transactional tables,
// an object store and a list of hosts, of which the last two are eventually
// consistent. Client calls the platform over HTTP. Memory implements the same
// services in memory with fault injection, for tests and stand-ins.
package store
