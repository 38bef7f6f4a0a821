// Package admin defines the paths and JSON messages of the operators' HTTP
// interface, which the entry hosts serve and the command line uses.
// docs/CONFIG.md describes the paths and status codes.
package admin
