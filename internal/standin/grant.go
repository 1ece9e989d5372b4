package standin

import (
	"encoding/json"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mangopost/mangopost/lease"
	"github.com/mangopost/mangopost/ownership"
)

// ShardGrant permits requests for one shard at an owner epoch.
type ShardGrant struct {
	Service string          `json:"service"`
	Shard   uint32          `json:"shard"`
	Epoch   ownership.Epoch `json:"epoch"`
}

// Grant is the body of POST /mangopost/grant.
type Grant struct {
	GatewayEpoch uint64       `json:"gateway_epoch"`
	Acknowledges uint64       `json:"acknowledges"`
	TTLMS        int64        `json:"ttl_ms"`
	Seq          uint64       `json:"seq"`
	SameAs       uint64       `json:"same_as"` // sequence number of the grant whose shard list still applies; 0: Shards is the list
	Shards       []ShardGrant `json:"shards"`
}

// maxGrantTTL bounds the time to live that a faulty gateway can grant.
const maxGrantTTL = time.Minute

// Check returns all validation errors of the grant, joined.
func (g *Grant) Check() error {
	var errs []error
	if g.GatewayEpoch == 0 || g.Seq == 0 {
		errs = append(errs, errors.New("gateway_epoch or seq is 0"))
	}
	if g.Acknowledges >= g.Seq && g.Acknowledges > 0 {
		errs = append(errs, errors.Newf("acknowledges %d is not before seq %d", g.Acknowledges, g.Seq))
	}
	if g.SameAs >= g.Seq && g.SameAs > 0 || g.SameAs > 0 && len(g.Shards) > 0 {
		errs = append(errs, errors.Newf("same_as %d is not before seq %d, or shards are given too", g.SameAs, g.Seq))
	}
	if g.TTLMS < 0 || g.TTLMS > maxGrantTTL.Milliseconds() {
		errs = append(errs, errors.Newf("ttl_ms: %d is not in 0 to %d", g.TTLMS, maxGrantTTL.Milliseconds()))
	}
	seen := make(map[ownership.ShardRef]bool, len(g.Shards))
	for i, s := range g.Shards {
		ref := ownership.ShardRef{Service: s.Service, Shard: s.Shard}
		if s.Service == "" || s.Epoch == 0 || seen[ref] {
			errs = append(errs, errors.Newf("shards[%d]: service %q, shard %d, epoch %d: service or epoch is missing, or shard is duplicated", i, s.Service, s.Shard, s.Epoch))
		}
		seen[ref] = true
	}
	return errors.Join(errs...)
}

// DecodeGrant decodes the body of POST /mangopost/grant. Unknown fields are
// ignored, as gateways may be newer than targets.
func DecodeGrant(body []byte) (Grant, error) {
	var grant Grant
	if err := json.Unmarshal(body, &grant); err != nil {
		return Grant{}, errors.Wrap(err, "decode")
	}
	return grant, grant.Check()
}

type grantAck struct {
	Ack       uint64 `json:"ack"`
	InHeaders bool   `json:"in_headers"` // the target accepts grants in request headers, too
}

// DecodeRenewal decodes a grant with an unchanged shard list from a request
// header. The header holds the gateway epoch, the grant's sequence number, its
// distance to the earlier grant that it acknowledges, and its time to live in
// milliseconds.
func DecodeRenewal(value string) (Grant, error) {
	var numbers [4]uint64
	fields := strings.Fields(value)
	if len(fields) != len(numbers) {
		return Grant{}, errors.Newf("grant %q: %d fields, not %d", value, len(fields), len(numbers))
	}
	for i, field := range fields {
		n, err := strconv.ParseUint(field, 10, 63)
		if err != nil {
			return Grant{}, errors.Wrapf(err, "grant %q", value)
		}
		numbers[i] = n
	}
	gateway, seq, distance := numbers[0], numbers[1], numbers[2]
	if distance == 0 || distance >= seq {
		return Grant{}, errors.Newf("grant %q does not acknowledge an earlier grant", value)
	}
	acknowledged := seq - distance
	grant := Grant{GatewayEpoch: gateway, Acknowledges: acknowledged, TTLMS: int64(numbers[3]), Seq: seq, SameAs: acknowledged}
	return grant, grant.Check()
}

type grantRefusal struct {
	Error        string `json:"error"`
	GatewayEpoch uint64 `json:"gateway_epoch"`
}

// Refusal is the reason why a target refuses a request before running it.
type Refusal string

// Values of the Mangopost-Refused header.
const (
	RefusedNone         Refusal = ""
	RefusedOwnerEpoch           = Refusal(lease.StaleOwnerEpoch)
	RefusedGatewayEpoch         = Refusal(lease.StaleGatewayEpoch)
	RefusedNoGrant              = Refusal(lease.NoGrant)
	RefusedShedding     Refusal = "shedding"
	RefusedDraining     Refusal = "draining"
)
