package router

import (
	"net/http"
	"strconv"

	"github.com/mangopost/mangopost/lease"
)

// renewalHeader encodes a grant with an unchanged shard list as the header that targets
// read; see docs/INTERFACES.md.
func renewalHeader(g lease.Grant) string {
	b := strconv.AppendUint(nil, uint64(g.Gateway), 10)
	b = append(b, ' ')
	b = strconv.AppendUint(b, g.Seq, 10)
	b = append(b, ' ')
	b = strconv.AppendUint(b, g.Seq-g.Acknowledges, 10)
	b = append(b, ' ')
	b = strconv.AppendInt(b, g.TTL.Milliseconds(), 10)
	return string(b)
}

// renewalAck returns the sequence number of the grant that an answer acknowledges, if
// any.
func renewalAck(response *http.Response) (seq uint64, ok bool) {
	value := response.Header.Get(headerGrant)
	if value == "" {
		return 0, false
	}
	seq, err := strconv.ParseUint(value, 10, 64)
	return seq, err == nil
}
