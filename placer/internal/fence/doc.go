// Package fence grants terms for endpoints that don't refuse old owners by
// themselves. A term is a row of the platform's table that its owner renews.
// While the platform is away, the owner renews by promises of every other
// placer of the zone not to take the row. Whoever finds a row of another waits
// until it has seen it unchanged for a whole term.
package fence
