// Package site runs a deployment with its configuration, sets its fault
// switches, and reads its logs and status pages from outside.
package site
