package routing

import (
	"sort"
	"time"

	"github.com/cyclamenhoist/cyclamenhoist/pkg/hash64"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/port"
)

// shardCount is the number of maps that the models are distributed over. A change of one
// model copies only one of these maps.
const shardCount = 256

type shard map[port.ModelID]*Set

// Snapshot is the immutable state that Router.Pick reads.
type Snapshot struct {
	// At is the time at which the snapshot was built.
	At       time.Time
	shards   [shardCount]shard
	services map[string]*Set
}

// Set holds the candidates for one model or one service, ordered by zone and ID.
type Set struct {
	model      port.ModelID
	base       port.ModelID
	service    string
	candidates []*Candidate
	// keys holds the hash of each candidate's ID; a scan of it touches few cache lines.
	keys  []uint64
	zones []zoneRange
}

type zoneRange struct {
	zone     port.Zone
	from, to int
}

func shardOf(id port.ModelID) uint64 { return hash64.String(string(id)) % shardCount }

// Model returns the candidates for a model; ok is false if the model is unknown.
func (s *Snapshot) Model(id port.ModelID) (set *Set, ok bool) {
	set, ok = s.shards[shardOf(id)][id]
	return set, ok
}

// Service returns the servers of a service; ok is false if the service is unknown.
func (s *Snapshot) Service(name string) (set *Set, ok bool) {
	set, ok = s.services[name]
	return set, ok
}

// Models returns the number of known models.
func (s *Snapshot) Models() int {
	n := 0
	for _, sh := range s.shards {
		n += len(sh)
	}
	return n
}

// Len returns the number of candidates.
func (s *Set) Len() int { return len(s.candidates) }

// At returns the candidate with index i.
func (s *Set) At(i int) *Candidate { return s.candidates[i] }

// ServiceName returns the name of the service that the candidates belong to.
func (s *Set) ServiceName() string { return s.service }

// Base returns the base model of an adapter, and an empty ID for other models.
func (s *Set) Base() port.ModelID { return s.base }

func (s *Set) zoneRange(zone port.Zone) (from, to int) {
	for _, r := range s.zones {
		if r.zone == zone {
			return r.from, r.to
		}
	}
	return 0, 0
}

func newSet(template Set, members []*Candidate) *Set {
	s := template
	if len(members) == 0 {
		return &s
	}
	s.candidates = append([]*Candidate(nil), members...)
	sort.Slice(s.candidates, func(i, j int) bool {
		a, b := &s.candidates[i].Server, &s.candidates[j].Server
		if a.Zone != b.Zone {
			return a.Zone < b.Zone
		}
		return a.ID < b.ID
	})
	s.keys = make([]uint64, len(s.candidates))
	s.zones = nil
	for i, c := range s.candidates {
		s.keys[i] = c.Stats.key
		if n := len(s.zones); n > 0 && s.zones[n-1].zone == c.Server.Zone {
			s.zones[n-1].to = i + 1
			continue
		}
		s.zones = append(s.zones, zoneRange{zone: c.Server.Zone, from: i, to: i + 1})
	}
	return &s
}
