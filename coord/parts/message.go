package parts

// Ask asks another holder of the zone for a part of a limit. The same Ask may
// be sent again until its Grant has arrived.
type Ask struct {
	Team  string `cbor:"team"`
	From  string `cbor:"from"`
	Round uint64 `cbor:"round"`
	Seq   uint64 `cbor:"seq"` // counts the asks of From to one giver
	Want  Amount `cbor:"want"`
	Debt  Amount `cbor:"debt"` // of it: what runs above the asker's part
}

// Grant answers an Ask. The giver has lowered its own part by N already.
type Grant struct {
	Team  string `cbor:"team"`
	Giver string `cbor:"giver"`
	Round uint64 `cbor:"round"`
	Seq   uint64 `cbor:"seq"`
	N     Amount `cbor:"n"`
}
