package slopes

import (
	"encoding/json"
	"fmt"

	"github.com/mangopost/mangopost/template"
)

// configServices is the number of templates in the measured configurations.
const configServices = 8

// newConfig returns a configuration with the given numbers of clients and of
// changes in its history.
func newConfig(clients, changes int) template.Config {
	cfg := template.Config{Version: 1}
	for i := range configServices {
		cfg.Templates = append(cfg.Templates, newTemplate(i))
	}
	for i := range clients {
		cfg.Clients = append(cfg.Clients, template.Client{
			Name:      fmt.Sprintf("client-%06d", i),
			Phone:     "+60 3 0000 0101",
			Services:  []string{"service-0", "service-1", "service-2"},
			Weight:    3,
			StopFrom:  "22:00",
			StopUntil: "06:00",
			Zone:      "Asia/Kuala_Lumpur",
		})
	}
	for i := range changes {
		cfg.History = append(cfg.History, template.Change{
			Version:  uint64(i + 1),
			Operator: "operator-1",
			What:     "client desk-um: weight 2 -> 3",
			AtMS:     1780000000000,
		})
	}
	return cfg
}

func newTemplate(i int) template.Template {
	return template.Template{
		Service: fmt.Sprintf("service-%d", i), Keyed: true, Shards: 256, Slots: 6, Connections: 110,
		ChecksGrants: true, WhenCut: template.CutKeep, QueueLimit: 64, RetryHorizonS: 600, ClockSkewMS: 2000,
		Routes: []template.Route{
			{Method: "GET", Path: "/search", Idempotent: true, DeadlineMS: 2000},
			{Method: "POST", Path: "/loans", DeadlineMS: 5000},
		},
	}
}

// Config measures the configuration object and finding a request's template in it.
func Config() []Slope {
	ns := doubling(16, 1<<12)
	decode := func(data []byte) *template.View {
		var cfg template.Config
		if err := json.Unmarshal(data, &cfg); err != nil {
			panic(err) // unreachable: encoded by this package
		}
		return template.Compile(cfg)
	}
	return []Slope{
		measureSlope("configuration", "client", "bytes of JSON", ns, func(n int) float64 {
			return float64(len(mustEncode(newConfig(n, 0))))
		}),
		measureSlope("configuration", "change in its history", "bytes of JSON", doubling(1, 256), func(n int) float64 {
			return float64(len(mustEncode(newConfig(0, n))))
		}),
		measureSlope("configuration, decode and compile", "client", "ns of CPU", ns, func(n int) float64 {
			data := mustEncode(newConfig(n, 0))
			return cpuNS(func() { decode(data) })
		}),
		measureSlope("configuration, compiled", "client", "bytes of heap", ns, func(n int) float64 {
			data := mustEncode(newConfig(n, 0))
			return heapBytes(func() any { return decode(data) })
		}),
		measureSlope("find a request's template", "client", "ns of CPU", ns, func(n int) float64 {
			view := decode(mustEncode(newConfig(n, 0)))
			return cpuNS(func() { _, _ = view.Resolve("client-000007", "service-1", "GET", "/search/x") })
		}),
	}
}
