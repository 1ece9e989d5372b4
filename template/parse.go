package template

import (
	"fmt"

	"github.com/mangopost/mangopost/finding"
	"github.com/mangopost/mangopost/finding/tomldoc"
)

// fileLayout is the layout of an operator's TOML file.
type fileLayout struct {
	Templates []Template `toml:"template"`
	Clients   []Client   `toml:"client"`
}

// Parse decodes an operator's file of [[template]] and [[client]] tables, sets
// defaults and checks each table on its own. Findings refer to the file by name.
func Parse(name string, data []byte) ([]Template, []Client, []finding.Finding) {
	var f fileLayout
	doc := tomldoc.Decode(name, data, &f)
	for i := range f.Templates {
		completeTemplate(doc, fmt.Sprintf("template[%d]", i), &f.Templates[i])
	}
	for i := range f.Clients {
		completeClient(doc, fmt.Sprintf("client[%d]", i), &f.Clients[i])
	}
	return f.Templates, f.Clients, doc.Findings()
}

func completeTemplate(doc *tomldoc.Document, path string, t *Template) {
	if t.Keyed && !doc.Has(path+".shards") {
		t.Shards = DefaultShards
	}
	setDefault(doc, path+".when_cut", &t.WhenCut, DefaultWhenCut)
	setDefault(doc, path+".queue_limit", &t.QueueLimit, DefaultQueueLimit)
	setDefault(doc, path+".queue_order", &t.QueueOrder, DefaultQueueOrder)
	setDefault(doc, path+".balancer", &t.Balancer, DefaultBalancer)
	setDefault(doc, path+".retry_horizon_s", &t.RetryHorizonS, DefaultRetryHorizonS)
	setDefault(doc, path+".clock_skew_ms", &t.ClockSkewMS, DefaultClockSkewMS)
	for _, field := range []string{"service", "slots", "connections", "routes"} {
		doc.Require(path+"."+field, "")
	}
	for i := range t.Routes {
		for _, field := range []string{"method", "path", "deadline_ms"} {
			doc.Require(fmt.Sprintf("%s.routes[%d].%s", path, i, field), "")
		}
	}
	checkTemplate(*t, reportAt(doc, path))
}

func completeClient(doc *tomldoc.Document, path string, c *Client) {
	setDefault(doc, path+".weight", &c.Weight, DefaultWeight)
	setDefault(doc, path+".zone", &c.Zone, DefaultZone)
	for _, field := range []string{"name", "phone", "services"} {
		doc.Require(path+"."+field, "")
	}
	checkClient(*c, reportAt(doc, path))
}

func reportAt(doc *tomldoc.Document, path string) reportFunc {
	return func(field, hint, format string, args ...any) {
		doc.Add(path+"."+field, hint, format, args...)
	}
}

func setDefault[T any](doc *tomldoc.Document, path string, field *T, value T) {
	if !doc.Has(path) {
		*field = value
	}
}
