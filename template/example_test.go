package template_test

import (
	"fmt"
	"time"

	"github.com/mangopost/mangopost/template"
)

// An operator's file is parsed into a configuration, which is compiled into a view
// for the data path.
func Example() {
	templates, clients, findings := template.Parse("katalog.toml", []byte(`
[[template]]
service = "katalog"
keyed = true
slots = 6
connections = 110

[[template.routes]]
method = "GET"
path = "/holdings"
idempotent = true
deadline_ms = 1000

[[client]]
name = "desk-um"
phone = "+60 3 0000 0101"
services = ["katalog"]
wieght = 3
`))
	for _, f := range findings {
		fmt.Println(f)
	}
	request := template.Request{ID: "r1", Operator: "aina", PutTemplates: templates, PutClients: clients}
	config, _, _ := template.Apply(template.Config{}, request, time.Unix(0, 0))
	view := template.Compile(config)
	match, err := view.Resolve("desk-um", "katalog", "GET", "/holdings/7")
	fmt.Println(config.Version, match.Template.Shards, match.Route.DeadlineMS, err)
	_, err = view.Resolve("desk-um", "katalog", "POST", "/holdings")
	fmt.Println(err)
	// Output:
	// katalog.toml:18:1: client[0].wieght: unknown key (did you mean "weight"?)
	// 1 256 1000 <nil>
	// no such route
}
