package ledger

import (
	"slices"

	"github.com/cyclamenhoist/cyclamenhoist/pkg/port"
)

// Observe takes in a report. Direct says that it was read from the server itself
// and that all earlier direct reads of the server had ended before this one
// began; other reports come by peers. The report isn't kept.
func (l *Ledger) Observe(r *port.Report, direct bool) Verdict {
	s := l.server(r.Server)
	verdict := s.judge(r, direct)
	if verdict == Stale || verdict == NeedsRead {
		return verdict
	}
	s.known = true
	s.direct = s.direct || direct
	s.incarnation, s.sequence = r.Incarnation, r.Sequence
	s.memory, s.older = r.MemoryBytes, r.OlderBytes
	s.match(r.Replicas, direct)
	return verdict
}

func (s *server) judge(r *port.Report, direct bool) Verdict {
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

// match compares the reported replicas with the holds.
func (s *server) match(replicas []port.Replica, direct bool) {
	s.strays = s.strays[:0]
	for i := range s.holds {
		hold := &s.holds[i]
		if hold.Loaded && direct && hold.absent < absentReads {
			hold.absent++
		}
	}
	for _, replica := range replicas {
		at, found := s.find(replica.Model)
		if !found || !s.holds[at].explains(replica.OrderID) {
			s.strays = append(s.strays, Stray{Model: replica.Model, OrderID: replica.OrderID, Bytes: replica.Bytes})
			continue
		}
		hold := &s.holds[at]
		hold.absent = 0
		hold.Bytes = max(hold.declared, replica.Bytes)
	}
}

// Lost returns the ids of loads that are proved dead: they were decided for an
// incarnation of the engine that has ended, so that the engine forgot them or
// refuses their order. Only a direct read proves that.
func (l *Ledger) Lost(id port.ServerID) []string {
	s := l.servers[id]
	if s == nil || !s.direct {
		return nil
	}
	var lost []string
	for i := range s.holds {
		if s.holds[i].incarnation != "" && s.holds[i].incarnation != s.incarnation {
			lost = append(lost, s.holds[i].Intent)
		}
	}
	return lost
}

// Missing returns the loaded replicas that several direct reads in a row lack
// although the engine hasn't restarted. To unload them proves their memory free.
func (l *Ledger) Missing(id port.ServerID) []Hold {
	s := l.servers[id]
	if s == nil {
		return nil
	}
	var missing []Hold
	for _, hold := range s.holds {
		if hold.absent == absentReads && hold.Unload == "" {
			missing = append(missing, hold)
		}
	}
	return missing
}

// Strays returns the replicas that no intent explains. Those of a model that has
// an intent are left out: to unload them would unload the decided one too.
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

// WorkDown returns what to unload of a server that uses more than it may, least
// worth keeping per byte first. Worth is what keeping a model loaded is worth;
// nil treats all alike, so that the largest go first. Unloads that are open
// count as done, loads that aren't ready can't be unloaded yet.
func (l *Ledger) WorkDown(id port.ServerID, worth func(port.ModelID) float64) []Hold {
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

// unloadable returns the loaded holds without an unload by worth per byte.
func (s *server) unloadable(worth func(port.ModelID) float64) []Hold {
	type scored struct {
		hold  Hold
		worth float64
	}
	var list []scored
	for _, hold := range s.holds {
		if !hold.Loaded || hold.Unload != "" {
			continue
		}
		value := 1.0
		if worth != nil {
			value = worth(hold.Model)
		}
		list = append(list, scored{hold, value / float64(max(1, hold.Bytes))})
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
	holds := make([]Hold, len(list))
	for i := range list {
		holds[i] = list[i].hold
	}
	return holds
}
