package edge

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cyclamenhoist/cyclamenhoist/pkg/fleet"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/streamorigin"
)

// Origins keeps where streams began, so that a client can take a stream up again through
// another instance.
type Origins interface {
	// Began records where a stream begins, before its first event. If announce is set, other
	// instances get to know it, also those that start later.
	Began(stream string, origin streamorigin.Origin, announce bool)
	// Origin returns where a stream began, and false if neither this instance nor those that it
	// reaches know.
	Origin(ctx context.Context, q OriginQuestion) (streamorigin.Origin, bool)
}

// OriginQuestion asks where a stream began.
type OriginQuestion struct {
	// Stream is the client's attempt that received the first event; empty if it isn't known.
	Stream string
	// Service is the service that would continue the stream. An instance that knows all versions which
	// the service has had knows the origin if there was only one.
	Service string
}

// versionsOf returns the versions of the listed servers, those that were listed before within
// streamorigin.TTL, and those that are recorded.
func versionsOf(servers map[fleet.ServerID]*fleet.Server, before map[string]map[string]time.Time, recorded map[string][]string, now time.Time) map[string]map[string]time.Time {
	out := map[string]map[string]time.Time{}
	set := func(service, version string, last time.Time) {
		if out[service] == nil {
			out[service] = map[string]time.Time{}
		}
		out[service][version] = last
	}
	for service, versions := range before {
		for version, last := range versions {
			if last.IsZero() {
				last = now
			}
			if now.Sub(last) < streamorigin.TTL {
				set(service, version, last)
			}
		}
	}
	for service, versions := range recorded {
		for _, version := range versions {
			set(service, version, now)
		}
	}
	for _, server := range servers {
		set(server.Service, server.Version, time.Time{})
	}
	return out
}

// recentVersions returns the versions of a service at which streams that still last can have
// begun.
func (v *View) recentVersions(service string, now time.Time) []string {
	var out []string
	for version, last := range v.versions[service] {
		if last.IsZero() || now.Sub(last) < streamorigin.TTL {
			out = append(out, version)
		}
	}
	return out
}

// KnowsVersions reports whether this instance knows all versions at which streams that still last can
// have begun: it has known the servers for as long, or has learned which versions they had before.
func (v *View) KnowsVersions(now time.Time) bool {
	return !v.knownSince.IsZero() && (v.versionsComplete || now.Sub(v.knownSince) >= streamorigin.TTL)
}

// SoleVersion returns the only software version at which streams of a service that still last can have
// begun. It reports false if there were several or none, or if this instance doesn't know that.
func (v *View) SoleVersion(service string, now time.Time) (string, bool) {
	versions := v.recentVersions(service, now)
	if len(versions) != 1 || !v.KnowsVersions(now) {
		return "", false
	}
	return versions[0], true
}

// CanBeSoleVersion reports whether this instance has seen no other version of the service at which
// streams that still last can have begun.
func (v *View) CanBeSoleVersion(service, version string, now time.Time) bool {
	return !slices.ContainsFunc(v.recentVersions(service, now), func(seen string) bool { return seen != version })
}

// VersionRecord returns the versions at which streams that still last can have begun.
func (v *View) VersionRecord(now time.Time) streamorigin.VersionRecord {
	out := streamorigin.VersionRecord{Complete: v.KnowsVersions(now), Services: map[string][]string{}}
	for service := range v.versions {
		if versions := v.recentVersions(service, now); len(versions) > 0 {
			slices.Sort(versions)
			out.Services[service] = versions
		}
	}
	return out
}

// AddVersions adds versions that servers have had to those that this instance has seen. If the record is
// complete, there were no others before this instance started.
func (v *Views) AddVersions(r streamorigin.VersionRecord) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.versionsComplete = v.versionsComplete || r.Complete
	v.publishWith(r.Services)
}

// resumes reports whether the client takes up a stream that began in an earlier attempt.
func (q *request) resumes() bool { return q.route.Kind == fleet.KindStream && q.head.LastEventID >= 0 }

// streamID returns the name of the stream: the client's attempt that receives, or has received,
// its first event.
func (q *request) streamID() string {
	if q.resumes() {
		return q.head.FirstAttempt
	}
	return q.head.ID
}

// streamVersion returns the software version that began the stream; empty if it isn't known.
func (q *request) streamVersion() string {
	if version := q.began.Load(); version != nil {
		return *version
	}
	return ""
}

// findOrigin finds the version at which the client's stream began. It reports false with the
// outcome if the version isn't known, since a stream can't change it.
func (q *request) findOrigin(ctx context.Context) (outcome, bool) {
	origin, known := q.edge.origins.Origin(ctx, OriginQuestion{Stream: q.head.FirstAttempt, Service: q.service})
	view := q.edge.views.Load()
	if !known {
		version, sole := view.SoleVersion(q.service, time.Now())
		q.logAssumedVersion(view, version)
		if !sole {
			return refused(reasonNoOrigin, jitter(minRetryAfter)), false
		}
		q.began.Store(&version)
		return outcome{}, true
	}
	if !slices.ContainsFunc(q.route.Shares, func(s fleet.Share) bool { return s.Service == origin.Service }) {
		return refused(reasonNoVersion, 0), false
	}
	q.service = origin.Service
	q.began.Store(&origin.Version)
	if engine := view.Manifest.Services[q.service].Engine; engine != nil {
		q.slots = engine.Slots
	}
	return outcome{}, true
}

// logAssumedVersion logs what a stream of unknown origin is taken to have begun at; an empty version
// means that it is refused.
func (q *request) logAssumedVersion(view *View, version string) {
	now := time.Now()
	q.edge.log.Info().Str("request", q.head.ID).Str("first_attempt", q.head.FirstAttempt).Int64("after", q.head.LastEventID).
		Str("assumed", version).Strs("versions", view.recentVersions(q.service, now)).Dur("servers_known_for", now.Sub(view.knownSince)).
		Msg("stream_origin_unknown")
}

// recordOrigin records that the stream begins, or goes on, at a server. Other instances need to
// know unless the service is known to have had a single version.
func (q *request) recordOrigin(b *backend) {
	stream := q.streamID()
	if q.route.Kind != fleet.KindStream || !q.route.CanResume || stream == "" {
		return
	}
	origin := streamorigin.Origin{Service: q.service, Version: b.server.Version}
	_, sole := q.edge.views.Load().SoleVersion(q.service, time.Now())
	q.edge.origins.Began(stream, origin, !sole)
	if sole {
		q.edge.begun.begin(stream, origin)
	}
}

// AnnounceStreams lets the other instances know of the streams in progress that began while
// their services had one version, if they now have several.
func (e *Edge) AnnounceStreams() {
	view, now := e.views.Load(), time.Now()
	for service := range view.versions {
		if len(view.recentVersions(service, now)) > 1 {
			for stream, origin := range e.begun.take(service) {
				e.origins.Began(stream, origin, true)
			}
		}
	}
}

// unannounced are the streams in progress that other instances don't know of.
type unannounced struct {
	mu      sync.Mutex
	streams map[string]streamorigin.Origin
}

func (u *unannounced) begin(stream string, origin streamorigin.Origin) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.streams[stream] = origin
}

func (u *unannounced) end(stream string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	delete(u.streams, stream)
}

// take removes and returns the streams of a service.
func (u *unannounced) take(service string) map[string]streamorigin.Origin {
	u.mu.Lock()
	defer u.mu.Unlock()
	out := map[string]streamorigin.Origin{}
	for stream, origin := range u.streams {
		if origin.Service == service {
			out[stream] = origin
			delete(u.streams, stream)
		}
	}
	return out
}
