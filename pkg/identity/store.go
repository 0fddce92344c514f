package identity

import (
	"sync"

	"github.com/cyclamenhoist/cyclamenhoist/pkg/port"
)

// shardCount splits a Store so that identities seldom wait for one another.
const shardCount = 16

// Store is a Table for concurrent use.
type Store struct {
	clock  port.Clock
	shards [shardCount]shard
}

type shard struct {
	mu    sync.Mutex
	table *Table
}

// NewStore returns an empty store with the limits split evenly over its shards.
func NewStore(clock port.Clock, limits Limits) *Store {
	s := &Store{clock: clock}
	limits.Entries /= shardCount
	limits.BodyBytes /= shardCount
	for i := range s.shards {
		s.shards[i].table = NewTable(limits)
	}
	return s
}

func (s *Store) locked(key Key) *shard {
	sh := &s.shards[key[0]%shardCount]
	sh.mu.Lock()
	return sh
}

// Claim is Table.Claim at the present time.
func (s *Store) Claim(a Ask) Answer {
	sh := s.locked(a.Key)
	defer sh.mu.Unlock()
	return sh.table.Claim(s.clock.Now(), a)
}

// Finish is Table.Finish at the present time.
func (s *Store) Finish(key Key, attempt string, r Result) {
	sh := s.locked(key)
	defer sh.mu.Unlock()
	sh.table.Finish(s.clock.Now(), key, attempt, r)
}

// Import is Table.Import at the present time.
func (s *Store) Import(k Kept) bool {
	sh := s.locked(k.Key)
	defer sh.mu.Unlock()
	return sh.table.Import(s.clock.Now(), k)
}

// Close is Table.Close of every shard.
func (s *Store) Close() []Kept {
	var all []Kept
	for i := range s.shards {
		sh := &s.shards[i]
		sh.mu.Lock()
		all = append(all, sh.table.Close(s.clock.Now())...)
		sh.mu.Unlock()
	}
	return all
}

// Len returns the number of identities kept.
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
