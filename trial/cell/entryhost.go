package cell

// Door is the callers' address of one entry.
type EntryHost struct {
	Host                string
	Zone                string
	Address             string
	OperatorAddress     string   // operators' address
	StatusAddress       string   // metrics, health and readiness of the entry
	PlacerStatusAddress string   // the same of the placer on the host
	Links               []string // UDP addresses of the entry and the placer
}

// Doors returns the callers' addresses.
func (c *Cell) EntryHosts() []EntryHost {
	list := make([]EntryHost, 0)
	for _, z := range c.plan.zones {
		for _, h := range z.hosts {
			list = append(list, EntryHost{Host: h.name, Zone: z.name, Address: h.door, OperatorAddress: h.oper, StatusAddress: h.entryPage, PlacerStatusAddress: h.placerPage,
				Links: []string{h.entryLink, h.placerLink}})
		}
	}
	return list
}

// Endpoint is the address of one endpoint.
type Endpoint struct {
	Kind    string
	Zone    string
	Address string
}

// Endpoints returns the addresses of all endpoints.
func (c *Cell) Endpoints() []Endpoint {
	list := make([]Endpoint, 0)
	for _, z := range c.plan.zones {
		for i := range z.groups {
			for _, a := range z.groups[i].Addresses {
				list = append(list, Endpoint{Kind: z.groups[i].Kind, Zone: z.name, Address: a})
			}
		}
	}
	return list
}

// PlatformDoor returns the platform's address for a zone, which can be cut
// off alone.
func (c *Cell) PlatformAddress(zone string) string {
	for _, z := range c.plan.zones {
		if z.name == zone {
			return z.platform
		}
	}
	return ""
}

// Zones returns the names of the availability zones.
func (c *Cell) Zones() []string { return c.plan.spec.Zones }
