package setup

import "net/netip"

// Address returns a fault unless value is an IP address with a port. Host names
// are invalid, because processes identify each other by IP address.
func Address(key, value string) []Fault {
	if value == "" {
		return []Fault{{Key: key, Text: `missing; write an IP number and a port, like "127.0.0.1:7000"`}}
	}
	if _, err := netip.ParseAddrPort(value); err != nil {
		return []Fault{{Key: key, Text: `"` + value + `" is not an IP number with a port; write it like "127.0.0.1:7000"`}}
	}
	return nil
}

// Required returns a fault if value is empty.
func Required(key, value string) []Fault {
	if value != "" {
		return nil
	}
	return []Fault{{Key: key, Text: "missing; give it a value"}}
}
