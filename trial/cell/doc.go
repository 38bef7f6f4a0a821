// Package cell runs a small deployment as processes on the loopback: the
// platform and the endpoints as stand-ins, an entry and a placer on each
// host. It writes their settings, starts them, and ends all that it started.
package cell
