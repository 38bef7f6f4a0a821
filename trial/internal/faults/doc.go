// Package faults makes seeded faults in a deployment under load of all kinds
// and has the judge look at what the endpoints, the callers and the platform
// saw.
package faults
