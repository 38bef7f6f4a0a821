// Package role runs a process of the stand-in in one of its roles: the platform,
// or a number of endpoints.
package role
