// Package roster knows which processes of a role are alive in a zone. They
// are discovered in settings and in the platform's lagging host list, and
// counted as alive by heartbeats, so it works while the platform is away.
//
// In a small zone each member calls all others. In a larger one it calls a
// fixed number of neighbours in a ring, so its cost doesn't grow with the
// zone: a silent neighbour's other watchers are asked before it is called
// dead, and joinings, leavings and deaths are passed on in heartbeats. A
// member that is called dead while it lives refutes that with a higher turn.
// Now and then two members compare digests of their lists.
package roster
