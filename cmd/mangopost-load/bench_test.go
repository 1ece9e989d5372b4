package main

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/mangopost/mangopost/template"
)

// withDeadline must change a copy of the routes only, and nothing if the variant
// sets no deadline.
func TestWithDeadlineChangesCopy(t *testing.T) {
	routes := []template.Route{{Path: "/a", DeadlineMS: 10}, {Path: "/b", DeadlineMS: 20}}
	changed := withDeadline(routes, 4000)
	assert.Equal(t, changed[0].DeadlineMS, int64(4000))
	assert.Equal(t, changed[1].DeadlineMS, int64(4000))
	assert.Equal(t, routes[0].DeadlineMS, int64(10))
	assert.DeepEqual(t, withDeadline(routes, 0), routes)
}
