// Package hold manages the ownership of endpoints. It opens the endpoints that
// this placer should own, renews its term on them and the leases of their
// tasks, and hands over endpoints that another placer should own. The roster
// only decides which placer tries to open an endpoint. If several placers try,
// the endpoint decides by epoch.
package hold
