package identity

import (
	"sync"

	"github.com/cyclamenhoist/cyclamenhoist/pkg/port"
)

// shardCount is the number of separately locked tables of a Store, to reduce lock
// contention.
const shardCount = 16

// Store is a sharded Table that is safe for concurrent use.
type Store struct {
	clock  port.Clock
	shards [shardCount]shard
}

type shard struct {
	mu    sync.Mutex
	table *Table
}

// NewStore returns an empty store. The limits are split evenly over its shards.
func NewStore(clock port.Clock, limits Limits) *Store {
	s := &Store{clock: clock}
	limits.Entries /= shardCount
	limits.BodyBytes /= shardCount
	for i := range s.shards {
		s.shards[i].table = NewTable(limits)
	}
	return s
}

func (s *Store) lockShard(key Key) *shard {
	sh := &s.shards[key[0]%shardCount]
	sh.mu.Lock()
	return sh
}

// Claim calls Table.Claim with the current time.
func (s *Store) Claim(r ClaimRequest) Answer {
	sh := s.lockShard(r.Key)
	defer sh.mu.Unlock()
	return sh.table.Claim(s.clock.Now(), r)
}

// Finish calls Table.Finish with the current time.
func (s *Store) Finish(key Key, attempt string, r Result) {
	sh := s.lockShard(key)
	defer sh.mu.Unlock()
	sh.table.Finish(s.clock.Now(), key, attempt, r)
}

// Import calls Table.Import with the current time.
func (s *Store) Import(retained RetainedIdentity) bool {
	sh := s.lockShard(retained.Key)
	defer sh.mu.Unlock()
	return sh.table.Import(s.clock.Now(), retained)
}

// Close closes every shard and returns all identities, see Table.Close.
func (s *Store) Close() []RetainedIdentity {
	var all []RetainedIdentity
	for i := range s.shards {
		sh := &s.shards[i]
		sh.mu.Lock()
		all = append(all, sh.table.Close(s.clock.Now())...)
		sh.mu.Unlock()
	}
	return all
}

// Len returns the number of identities in the store.
func (s *Store) Len() int {
	n := 0
	for i := range s.shards {
		sh := &s.shards[i]
		sh.mu.Lock()
		n += sh.table.Len()
		sh.mu.Unlock()
	}
	return n
}
