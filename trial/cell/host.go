package cell

// host is one entry host of a deployment.
type host struct {
	name            string
	zone            string
	entryAddress    string // of the entry, for callers
	entryLink       string // UDP address of the entry
	entryStatus     string // metrics, health and readiness of the entry
	operatorAddress string // of the entry, for operators
	placerLink      string // UDP address of the placer
	placerStatus    string // metrics, health and readiness of the placer
}

// zone is one availability zone of a deployment.
type zone struct {
	name     string
	platform string // address at which this zone reaches the platform
	hosts    []*host
	groups   []group
}

// allocate gives h free addresses.
func (h *host) allocate(p *portAllocator) error {
	for _, field := range []*string{&h.entryAddress, &h.operatorAddress, &h.entryStatus, &h.placerStatus} {
		address, err := p.tcp()
		if err != nil {
			return err
		}
		*field = address
	}
	for _, field := range []*string{&h.entryLink, &h.placerLink} {
		address, err := p.udp()
		if err != nil {
			return err
		}
		*field = address
	}
	return nil
}
