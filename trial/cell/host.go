package cell

// host is one entry host of a deployment.
type host struct {
	name       string
	zone       string
	door       string // callers' address of its entry
	entryLink  string
	entryPage  string
	oper       string // operators' address of its entry
	placerLink string
	placerPage string
}

// zone is one availability zone of a deployment.
type zone struct {
	name     string
	platform string // the platform's address for this zone
	hosts    []*host
	groups   []group
}

// pick fills h with free addresses.
func (h *host) pick(p *ports) error {
	for _, field := range []*string{&h.door, &h.oper, &h.entryPage, &h.placerPage} {
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
