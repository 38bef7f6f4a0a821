// Package fence grants terms for endpoints that don't reject calls of earlier
// owners themselves. A term is a row in a table of the platform, which the
// owner renews. While the platform is unavailable, the owner can renew if every
// other placer of the zone promises not to take the row. A placer takes a row
// of another owner only after it has seen it unchanged for a whole term.
package fence
