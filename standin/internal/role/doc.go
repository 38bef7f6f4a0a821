// Package role runs one process of the stand-in: the platform, or many
// endpoints.
package role
