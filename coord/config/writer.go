package config

// Writer is a process that may publish versions: an entry that serves the
// operators' API. While the platform is unavailable, other processes ask all
// writers whether their version is still the newest.
type Writer struct {
	Name    string `json:"name" cbor:"name"`
	Run     string `json:"run" cbor:"run"`         // random ID of this run, which distinguishes it from earlier and later runs of the name
	Address string `json:"address" cbor:"address"` // of its link.Node
	Since   uint64 `json:"since" cbor:"since"`     // number of the first roll that lists this run
}
