// Package hold keeps the ownership of endpoints: it opens the endpoints that
// this placer should own, renews its terms and the leases of the tasks there,
// and hands over what another placer should own. The endpoint arbitrates by
// epoch; what the roster says only decides who asks.
package hold
