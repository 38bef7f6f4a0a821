package usage

// Peer is another placer.
type Peer struct {
	Name string
	Zone string
	Link string // link address
}
