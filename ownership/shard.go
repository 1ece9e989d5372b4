package ownership

import (
	"math/bits"

	"github.com/cespare/xxhash/v2"
)

// ShardOf returns the shard of a key among n shards. n is a power of two.
func ShardOf(key string, n uint32) uint32 {
	if n <= 1 {
		return 0
	}
	return uint32(xxhash.Sum64String(key) >> (64 - bits.Len32(n-1)))
}
