package router

import (
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/mangopost/mangopost/internal/wire/pb"
)

func TestHeadersAreAddedInCanonicalFormAndOrder(t *testing.T) {
	from := []*pb.Header{
		{Name: "accept", Value: "a"}, {Name: "X-One", Value: "1"}, {Name: "Accept", Value: "b"}, {Name: "Accept", Value: "c"}, {Name: "X-Two", Value: "2"},
	}
	h := make(http.Header)
	addHeaders(h, from)
	assert.DeepEqual(t, h, http.Header{"Accept": {"a", "b", "c"}, "X-One": {"1"}, "X-Two": {"2"}})
	h.Add("X-One", "3")
	assert.Equal(t, h.Get("X-Two"), "2", "adding a value must not overwrite another header")
}

func TestEndToEndKeepsEachValue(t *testing.T) {
	h := http.Header{"Accept": {"a", "b", "c"}, "X-One": {"1"}, "Connection": {"x-two"}, "X-Two": {"2"}, headerKey: {"k"}}
	out := make(http.Header)
	addHeaders(out, endToEndHeaders(h))
	assert.DeepEqual(t, out, http.Header{"Accept": {"a", "b", "c"}, "X-One": {"1"}})
}
