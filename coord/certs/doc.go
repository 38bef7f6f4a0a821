// Package certs loads TLS certificates from the PEM files named in the settings
// and reloads them periodically, so that they can be replaced without a restart.
package certs
