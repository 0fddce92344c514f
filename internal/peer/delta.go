package peer

import (
	"time"

	"github.com/cyclamenhoist/cyclamenhoist/internal/peer/peerpb"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/membership"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/port"
)

// EncodeDelta converts a membership delta to its message.
func EncodeDelta(d *membership.Delta) *peerpb.Delta {
	m := &peerpb.Delta{
		From:    encodeInstance(membership.InstanceObservation{Instance: d.From, Heartbeat: d.Heartbeat}),
		Version: d.Version,
		Seen:    d.Seen,
	}
	for _, i := range d.Instances {
		m.Instances = append(m.Instances, encodeInstance(i))
	}
	for i := range d.Servers {
		m.Servers = append(m.Servers, encodeServer(&d.Servers[i]))
	}
	for _, id := range d.Want {
		m.Want = append(m.Want, string(id))
	}
	return m
}

// DecodeDelta converts a message to a membership delta.
func DecodeDelta(m *peerpb.Delta) *membership.Delta {
	from := decodeInstance(m.GetFrom())
	d := &membership.Delta{From: from.Instance, Heartbeat: from.Heartbeat, Version: m.Version, Seen: m.Seen}
	for _, i := range m.Instances {
		d.Instances = append(d.Instances, decodeInstance(i))
	}
	for _, s := range m.Servers {
		d.Servers = append(d.Servers, decodeServer(s))
	}
	for _, id := range m.Want {
		d.Want = append(d.Want, port.ServerID(id))
	}
	return d
}

func encodeInstance(o membership.InstanceObservation) *peerpb.InstanceObservation {
	return &peerpb.InstanceObservation{
		Id: string(o.Instance.ID), Zone: string(o.Instance.Zone), PeerAddress: o.Instance.PeerAddress,
		Leaving: o.Instance.Leaving, Heartbeat: o.Heartbeat, HeartbeatOnly: o.HeartbeatOnly,
	}
}

func decodeInstance(m *peerpb.InstanceObservation) membership.InstanceObservation {
	return membership.InstanceObservation{
		Instance: port.Instance{
			ID: port.InstanceID(m.GetId()), Zone: port.Zone(m.GetZone()),
			PeerAddress: m.GetPeerAddress(), Leaving: m.GetLeaving(),
		},
		Heartbeat: m.GetHeartbeat(), HeartbeatOnly: m.GetHeartbeatOnly(),
	}
}

func encodeServer(o *membership.ServerObservation) *peerpb.ServerObservation {
	m := &peerpb.ServerObservation{
		Id: string(o.Server.ID), Zone: string(o.Server.Zone), Service: o.Server.Service,
		Kind: string(o.Server.Kind), Address: o.Server.Address, Leaving: o.Server.Leaving,
		Generation: o.Generation, AgeMs: o.Age.Milliseconds(), LoadOnly: o.LoadOnly, StateHash: o.StateHash,
	}
	if o.Generation > 0 {
		m.Report = encodeReport(&o.Report)
	}
	return m
}

func decodeServer(m *peerpb.ServerObservation) membership.ServerObservation {
	id := port.ServerID(m.Id)
	return membership.ServerObservation{
		Server: port.Server{
			ID: id, Zone: port.Zone(m.Zone), Service: m.Service, Kind: port.ServiceKind(m.Kind),
			Address: m.Address, Leaving: m.Leaving,
		},
		Generation: m.Generation, Report: decodeReport(id, m.Report),
		Age: time.Duration(m.AgeMs) * time.Millisecond, LoadOnly: m.LoadOnly, StateHash: m.StateHash,
	}
}

func encodeReport(r *port.Report) *peerpb.Report {
	m := &peerpb.Report{
		Incarnation: r.Incarnation, Sequence: r.Sequence, Fence: int64(r.Fence),
		MemoryBytes: r.MemoryBytes, OlderBytes: r.OlderBytes,
		CachedOnDisk: modelNames(r.CachedOnDisk), CachedInMemory: modelNames(r.CachedInMemory),
		InFlight: int32(r.InFlight), Queued: int32(r.Queued), Leaving: r.Leaving,
	}
	for _, replica := range r.Replicas {
		m.Replicas = append(m.Replicas, &peerpb.Replica{
			Model: string(replica.Model), State: string(replica.State), Bytes: replica.Bytes, OrderId: replica.OrderID,
		})
	}
	return m
}

func decodeReport(id port.ServerID, m *peerpb.Report) port.Report {
	r := port.Report{
		Server: id, Incarnation: m.GetIncarnation(), Sequence: m.GetSequence(), Fence: port.Epoch(m.GetFence()),
		MemoryBytes: m.GetMemoryBytes(), OlderBytes: m.GetOlderBytes(),
		CachedOnDisk: modelIDs(m.GetCachedOnDisk()), CachedInMemory: modelIDs(m.GetCachedInMemory()),
		InFlight: int(m.GetInFlight()), Queued: int(m.GetQueued()), Leaving: m.GetLeaving(),
	}
	for _, replica := range m.GetReplicas() {
		r.Replicas = append(r.Replicas, port.Replica{
			Model: port.ModelID(replica.Model), State: port.ReplicaState(replica.State),
			Bytes: replica.Bytes, OrderID: replica.OrderId,
		})
	}
	return r
}

func modelNames(ids []port.ModelID) []string {
	var names []string
	for _, id := range ids {
		names = append(names, string(id))
	}
	return names
}

func modelIDs(names []string) []port.ModelID {
	var ids []port.ModelID
	for _, name := range names {
		ids = append(ids, port.ModelID(name))
	}
	return ids
}
