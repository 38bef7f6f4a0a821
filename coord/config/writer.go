package config

// Writer is a process that answers for the configuration while the platform is
// away: an entry with an operators' door, through which versions are published.
type Writer struct {
	Name    string `json:"name" cbor:"name"`
	Run     string `json:"run" cbor:"run"`         // tells the process from others of the name
	Address string `json:"address" cbor:"address"` // of its link.Node
	Since   uint64 `json:"since" cbor:"since"`     // number of the first roll that has this run
}
