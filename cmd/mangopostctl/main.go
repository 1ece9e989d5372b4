// Command mangopostctl is the operators' command-line tool. It manages
// templates, clients and planned stops, and shows the state of hosts, targets,
// cells and owners.
package main

import (
	"os"

	"github.com/mangopost/mangopost/internal/ctl"
)

func main() {
	os.Exit(ctl.Main(os.Args[1:], os.Stdout, os.Stderr))
}
