package e2e

// dataCentre describes a data centre, which is one cell, with its hosts and
// targets.
type dataCentre struct {
	name   string
	prefix string // prefix of the names of its hosts
	region string
}

// dataCentres lists the available data centres; a cluster uses the first of
// them, one for each cell.
var dataCentres = []dataCentre{
	{name: "kl-utama", prefix: "kl", region: "semenanjung"},
	{name: "penang", prefix: "pg", region: "semenanjung"},
}

// HostsIn returns the hosts of the n-th data centre, counted from 0.
func (c *Cluster) HostsIn(n int) []*Host {
	return c.Hosts[n*c.opts.Hosts : (n+1)*c.opts.Hosts]
}

// KeysIn returns the keys whose owner is in the n-th data centre according to
// the shard map in the store.
func (c *Cluster) KeysIn(n int, keys []string) ([]string, error) {
	return c.affectedKeys(keys, func(target string) bool { return c.IsTargetIn(n, target) })
}

// IsTargetIn reports whether a target is in the n-th data centre.
func (c *Cluster) IsTargetIn(n int, name string) bool {
	t := c.targetByName(name)
	return t != nil && t.dataCentre == dataCentres[n]
}

// targetByName returns the target with the given name, or nil.
func (c *Cluster) targetByName(name string) *Target {
	for _, t := range c.Targets {
		if t.Name == name {
			return t
		}
	}
	return nil
}
