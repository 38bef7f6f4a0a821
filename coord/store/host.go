package store

// Host is an entry of the platform's list of live and leaving hosts. The list is
// eventually consistent.
type Host struct {
	Name    string `json:"name"`
	Zone    string `json:"zone"`
	Address string `json:"address"` // IP address with a port
	Role    string `json:"role"`    // entry, placer, executor or worker
	Rack    string `json:"rack,omitempty"`
	Leaving bool   `json:"leaving,omitempty"` // shutting down
}

// hostList is a list of hosts with the ETag of the response that carried it.
type hostList struct {
	etag  string
	hosts []Host
}
