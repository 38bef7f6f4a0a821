package model

// Config is one version of the operators' configuration. It must not be changed
// once it has been made.
type Config struct {
	Version  int64
	Queues   map[string]Queue   // by name
	Services map[string]Service // by name
	Teams    map[string]Team    // by name
	keys     map[string]string  // team name by API key
}

// NewConfig returns a Config that consists of the given objects.
func NewConfig(version int64, queues []Queue, services []Service, teams []Team) *Config {
	c := &Config{
		Version: version, Queues: make(map[string]Queue, len(queues)), Services: make(map[string]Service, len(services)),
		Teams: make(map[string]Team, len(teams)), keys: make(map[string]string),
	}
	for _, q := range queues {
		c.Queues[q.Name] = q
	}
	for _, s := range services {
		c.Services[s.Name] = s
	}
	for _, t := range teams {
		c.Teams[t.Name] = t
		for _, k := range t.Keys {
			c.keys[k] = t.Name
		}
	}
	return c
}

// TeamOf returns the name of the team that the API key belongs to, and whether
// there is one.
func (c *Config) TeamOf(key string) (string, bool) {
	name, ok := c.keys[key]
	return name, ok
}

// Route returns the queue for a request, and whether there is one: of the queues
// for host whose Prefix path begins with, the one with the longest Prefix.
func (c *Config) Route(host, path string) (Queue, bool) {
	var best Queue
	found := false
	for _, q := range c.Queues {
		if q.Host != host || len(path) < len(q.Prefix) || path[:len(q.Prefix)] != q.Prefix {
			continue
		}
		if !found || len(q.Prefix) > len(best.Prefix) {
			best, found = q, true
		}
	}
	return best, found
}
