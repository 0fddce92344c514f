package ledger

import (
	"slices"

	"github.com/cyclamenhoist/cyclamenhoist/pkg/port"
)

// Observe processes a report. Direct is set if the report was read from the
// server itself, and all earlier direct reads of the server had ended before
// this one began; other reports are received from peers. The report isn't
// retained.
func (l *Ledger) Observe(r *port.Report, direct bool) Verdict {
	s := l.serverFor(r.Server)
	verdict := s.classify(r, direct)
	if verdict == Stale || verdict == NeedsRead {
		return verdict
	}
	s.known = true
	s.direct = s.direct || direct
	s.incarnation, s.sequence = r.Incarnation, r.Sequence
	s.memory, s.older = r.MemoryBytes, r.OlderBytes
	s.reconcileReplicas(r.Replicas, direct)
	return verdict
}

func (s *server) classify(r *port.Report, direct bool) Verdict {
	switch {
	case !s.known:
		return Accepted
	case r.Incarnation == s.incarnation && r.Sequence <= s.sequence:
		return Stale
	case r.Incarnation == s.incarnation:
		return Accepted
	case direct:
		return Restarted
	default:
		return NeedsRead
	}
}

// reconcileReplicas compares the reported replicas with the allocations.
func (s *server) reconcileReplicas(replicas []port.Replica, direct bool) {
	s.strays = s.strays[:0]
	for i := range s.allocations {
		allocation := &s.allocations[i]
		if allocation.Loaded && direct && allocation.missedReads < missingThreshold {
			allocation.missedReads++
		}
	}
	for _, replica := range replicas {
		at, found := s.find(replica.Model)
		if !found || !s.allocations[at].matches(replica.OrderID) {
			s.strays = append(s.strays, Stray{Model: replica.Model, OrderID: replica.OrderID, Bytes: replica.Bytes})
			continue
		}
		allocation := &s.allocations[at]
		allocation.missedReads = 0
		allocation.Bytes = max(allocation.declared, replica.Bytes)
	}
}

// Lost returns the intent ids of loads that are proven lost. They were decided
// for an incarnation of the engine that has ended, so the engine has lost the
// replica or rejects the order. Only a direct read proves that.
func (l *Ledger) Lost(id port.ServerID) []string {
	s := l.servers[id]
	if s == nil || !s.direct {
		return nil
	}
	var lost []string
	for i := range s.allocations {
		if s.allocations[i].incarnation != "" && s.allocations[i].incarnation != s.incarnation {
			lost = append(lost, s.allocations[i].Intent)
		}
	}
	return lost
}

// Missing returns the loaded replicas that several consecutive direct reads lack
// although the engine hasn't restarted. An unload proves that their memory is
// free.
func (l *Ledger) Missing(id port.ServerID) []Allocation {
	s := l.servers[id]
	if s == nil {
		return nil
	}
	var missing []Allocation
	for _, allocation := range s.allocations {
		if allocation.missedReads == missingThreshold && allocation.Unload == "" {
			missing = append(missing, allocation)
		}
	}
	return missing
}

// Strays returns the replicas that no intent explains. Strays of a model that
// also has an intent are omitted, because an unload would also unload the
// decided replica.
func (l *Ledger) Strays(id port.ServerID) []Stray {
	s := l.servers[id]
	if s == nil {
		return nil
	}
	var strays []Stray
	for _, stray := range s.strays {
		if _, found := s.find(stray.Model); !found {
			strays = append(strays, stray)
		}
	}
	return strays
}

// ExcessReplicas returns the replicas to unload from a server whose usage
// exceeds the limit, in ascending order of worth per byte. The function worth
// returns the value of a model that stays loaded. With nil all models have
// equal worth, so the largest replicas come first. Replicas being unloaded
// count as freed. Loads that aren't ready can't be unloaded yet.
func (l *Ledger) ExcessReplicas(id port.ServerID, worth func(port.ModelID) float64) []Allocation {
	s := l.servers[id]
	if s == nil || !s.known {
		return nil
	}
	u := l.usage(s)
	over := u.Used - u.Unloading - u.Limit
	if over <= 0 {
		return nil
	}
	candidates := s.unloadable(worth)
	for i, c := range candidates {
		over -= c.Bytes
		if over <= 0 {
			return candidates[:i+1]
		}
	}
	return candidates
}

// unloadable returns the loaded allocations without an open unload, in ascending
// order of worth per byte.
func (s *server) unloadable(worth func(port.ModelID) float64) []Allocation {
	type scored struct {
		allocation Allocation
		worth      float64
	}
	var list []scored
	for _, allocation := range s.allocations {
		if !allocation.Loaded || allocation.Unload != "" {
			continue
		}
		value := 1.0
		if worth != nil {
			value = worth(allocation.Model)
		}
		list = append(list, scored{allocation, value / float64(max(1, allocation.Bytes))})
	}
	slices.SortStableFunc(list, func(a, b scored) int {
		switch {
		case a.worth < b.worth:
			return -1
		case a.worth > b.worth:
			return 1
		default:
			return 0
		}
	})
	allocations := make([]Allocation, len(list))
	for i := range list {
		allocations[i] = list[i].allocation
	}
	return allocations
}
