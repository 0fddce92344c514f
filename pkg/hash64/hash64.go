// Package hash64 provides 64-bit hash functions for rendezvous hashing and hash
// tables.
package hash64

import "github.com/cespare/xxhash/v2"

// String returns the xxHash64 of s.
func String(s string) uint64 { return xxhash.Sum64String(s) }

// Mix is the 64-bit finaliser of MurmurHash3: a bijection in which every bit of x
// affects all bits of the result.
func Mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	x ^= x >> 33
	return x
}
