package cell

// EntryHost holds the addresses of the entry and the placer on one host.
type EntryHost struct {
	Host                string
	Zone                string
	Address             string   // of the entry, for callers
	OperatorAddress     string   // of the entry, for operators
	StatusAddress       string   // metrics, health and readiness of the entry
	PlacerStatusAddress string   // metrics, health and readiness of the placer
	Links               []string // UDP addresses of the entry and the placer
}

// EntryHosts returns the addresses of all entry hosts, zone by zone.
func (c *Cell) EntryHosts() []EntryHost {
	list := make([]EntryHost, 0)
	for _, z := range c.plan.zones {
		for _, h := range z.hosts {
			list = append(list, EntryHost{Host: h.name, Zone: z.name, Address: h.entryAddress, OperatorAddress: h.operatorAddress, StatusAddress: h.entryStatus, PlacerStatusAddress: h.placerStatus,
				Links: []string{h.entryLink, h.placerLink}})
		}
	}
	return list
}

// Endpoint describes one endpoint.
type Endpoint struct {
	Kind    string // executor or worker
	Zone    string
	Address string
}

// Endpoints returns all endpoints, zone by zone.
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

// PlatformAddress returns the address at which the processes of a zone reach
// the platform, or an empty string for an unknown zone. Each zone has its own,
// so that a trial can cut off one zone alone.
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
