package store

// Host is one entry of the platform's list of live and leaving hosts. The
// list lags behind what it describes.
type Host struct {
	Name    string `json:"name"`
	Zone    string `json:"zone"`
	Address string `json:"address"`
	Role    string `json:"role"` // entry, placer, executor or worker
	Rack    string `json:"rack,omitempty"`
	Leaving bool   `json:"leaving,omitempty"`
}

// hostList is the list with the tag under which the platform answered it.
type hostList struct {
	tag   string
	hosts []Host
}
