package main

import (
	"os"

	"github.com/mangopost/mangopost/internal/load/slopes"
)

type slopesCommand struct {
	JSON bool `long:"json" description:"print every measurement as JSON"`
}

// Execute measures and prints every slope.
func (c *slopesCommand) Execute([]string) error {
	list := slopes.All()
	if c.JSON {
		return writeJSON(os.Stdout, list)
	}
	return slopes.Write(os.Stdout, list)
}
