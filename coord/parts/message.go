package parts

// Ask requests a part of a limit from another holder of the zone. The same Ask
// may be sent again until its Grant has arrived.
type Ask struct {
	Team  string `cbor:"team"`
	From  string `cbor:"from"`
	Round uint64 `cbor:"round"`
	Seq   uint64 `cbor:"seq"` // sequence number of the asks of From to one giver
	Want  Amount `cbor:"want"`
	Debt  Amount `cbor:"debt"` // amount that runs above the asker's part
}

// Grant is the answer to an Ask. The giver has lowered its own part by N
// already.
type Grant struct {
	Team  string `cbor:"team"`
	Giver string `cbor:"giver"`
	Round uint64 `cbor:"round"`
	Seq   uint64 `cbor:"seq"` // of the Ask; 0 if the giver ignored it
	N     Amount `cbor:"n"`
}
