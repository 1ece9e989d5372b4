package slopes

// All measures every slope. It takes about a minute.
func All() []Slope {
	var list []Slope
	for _, measure := range []func() []Slope{Dedup, Pages, Records, Leases, Config, Queue} {
		list = append(list, measure()...)
	}
	return list
}
