package placer

import (
	"math"
	"time"

	"github.com/cyclamenhoist/cyclamenhoist/internal/placer/placerpb"
	"github.com/cyclamenhoist/cyclamenhoist/internal/storemirror"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/fleet"
)

// milliseconds returns a duration rounded up, so that an age isn't understated.
func milliseconds(d time.Duration) uint32 {
	return uint32(min(max((d+time.Millisecond-1).Milliseconds(), 0), math.MaxUint32))
}

func encodeNews(n storemirror.News, renewed time.Duration) *placerpb.StoreNews {
	out := &placerpb.StoreNews{
		HeldMs: uint32(max(n.Held.Milliseconds(), 0)), ManifestVersion: n.ManifestVersion, ManifestAgeMs: milliseconds(n.ManifestAge),
		ListEra: n.ListEnd.Era, ListEnd: n.ListEnd.Offset, ListAgeMs: milliseconds(n.ListAge), Complete: n.Complete, RenewedMs: milliseconds(renewed),
		ConfirmedMs: min(milliseconds(n.ConfirmationAge), math.MaxUint32-1) + 1, Bulletin: n.List.ID, Revision: n.List.Revision, ListDigest: n.List.Digest,
	}
	for _, e := range n.Entries {
		listed := &placerpb.ListedServer{Id: string(e.ID), Era: e.At.Era, Offset: e.At.Offset, Removed: e.Removed, Restored: e.Restored}
		if e.Removed {
			listed.Born, listed.Sequence, listed.Exact = e.LastReport.StartedAt, e.LastReport.Sequence, e.LastReport.Exact
		}
		if s := e.Server; s != nil {
			listed.Service, listed.Address, listed.Zone, listed.Version = s.Service, s.Address, s.Zone, s.Version
			listed.Born, listed.Sequence, listed.Slots = s.StartedAt, s.Sequence, int32(s.Slots)
			listed.Draining, listed.RemainingMs = s.Draining, milliseconds(s.Remaining)
			for _, r := range s.Models {
				listed.Residents = append(listed.Residents, &placerpb.Resident{Model: r.Model, Adapters: r.Adapters})
			}
		}
		out.Servers = append(out.Servers, listed)
	}
	return out
}

func decodeNews(n *placerpb.StoreNews) storemirror.News {
	out := storemirror.News{
		Held: time.Duration(n.HeldMs) * time.Millisecond, ManifestVersion: n.ManifestVersion, ManifestAge: time.Duration(n.ManifestAgeMs) * time.Millisecond,
		ListEnd: fleet.Position{Era: n.ListEra, Offset: n.ListEnd}, ListAge: time.Duration(n.ListAgeMs) * time.Millisecond, Complete: n.Complete,
		ConfirmationAge: storemirror.NeverConfirmed, List: fleet.Edition{ID: n.Bulletin, Revision: n.Revision, Digest: n.ListDigest},
	}
	if n.ConfirmedMs > 0 {
		out.ConfirmationAge = time.Duration(n.ConfirmedMs-1) * time.Millisecond
	}
	for _, listed := range n.Servers {
		e := fleet.Entry{ID: fleet.ServerID(listed.Id), At: fleet.Position{Era: listed.Era, Offset: listed.Offset}, Removed: listed.Removed, Restored: listed.Restored}
		if listed.Removed {
			e.LastReport = fleet.LastReport{StartedAt: listed.Born, Sequence: listed.Sequence, Exact: listed.Exact}
		} else {
			e.Server = &fleet.Server{
				ID: e.ID, Service: listed.Service, Address: listed.Address, Zone: listed.Zone, Version: listed.Version,
				StartedAt: listed.Born, Sequence: listed.Sequence, Slots: max(int(listed.Slots), 0),
				Draining: listed.Draining, Remaining: time.Duration(listed.RemainingMs) * time.Millisecond,
			}
			for _, r := range listed.Residents {
				e.Server.Models = append(e.Server.Models, fleet.Resident{Model: r.Model, Adapters: r.Adapters})
			}
		}
		out.Entries = append(out.Entries, e)
	}
	return out
}
