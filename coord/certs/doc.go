// Package certs reads certificates from the PEM files that settings name and
// reads them again while they are in use, so that they can be replaced without
// a restart.
package certs
