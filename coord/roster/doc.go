// Package roster knows which processes of a role are alive in a zone. They
// are discovered in settings and in the platform's lagging host list, and
// counted as alive by heartbeats that they send one another, so it works while
// the platform is away.
package roster
