// Package faults injects seeded faults into a deployment under load of all
// request kinds, records what the endpoints, the callers and the platform
// observe, and checks the record for violated invariants.
package faults
