// Package roster tracks which processes of a role are alive in a zone. Members
// are discovered from settings and from the platform's host list, which lags,
// and are considered alive by their heartbeats. So the package works while the
// platform is unavailable.
//
// In a small zone each member sends heartbeats to all others. In a larger zone
// it sends them to a fixed number of neighbours in a ring, so that its cost
// doesn't grow with the zone. Before a member declares a silent neighbour dead,
// it queries the neighbour's other watchers. Updates on members that join, leave
// or die spread as gossip in heartbeats. A live member that is declared dead
// refutes that by raising its turn, an incarnation number. Periodically, two
// members compare digests of their lists to repair missed updates.
package roster
