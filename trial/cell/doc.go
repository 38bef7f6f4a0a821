// Package cell runs a small deployment as processes on the loopback interface:
// stand-ins for the platform and the endpoints, and an entry and a placer for
// each host. It writes their settings files and starts and stops the processes.
package cell
