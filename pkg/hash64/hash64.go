// Package hash64 has the hashes for rendezvous hashing and for tables.
package hash64

import "github.com/cespare/xxhash/v2"

// String hashes a name.
func String(s string) uint64 { return xxhash.Sum64String(s) }

// Mix spreads the bits of x over all of the result. It is a bijection: the
// finaliser of MurmurHash3.
func Mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	x ^= x >> 33
	return x
}
