// Package admin holds the messages of the operators' HTTP interface, as the
// operators' door serves them and the command line sends them. They are JSON;
// docs/CONFIG.md describes the paths and status codes.
package admin
