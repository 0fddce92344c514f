package edge

import (
	"net/http"
	"sync/atomic"
	"time"

	"github.com/cyclamenhoist/cyclamenhoist/pkg/fleet"
	"github.com/cyclamenhoist/cyclamenhoist/platform"
)

// ManifestState is what is known of newer manifests than the one in force. Its zero value means that
// the one in force is the newest.
type ManifestState struct {
	// WithdrawWithin is the time within which a withdrawn key must cease to work; 0 if the manifest in
	// force needs no confirmation.
	WithdrawWithin time.Duration
	// ConfirmationAge returns the time since the manifest in force was last certain to be the newest
	// one. It includes suspensions.
	ConfirmationAge func() time.Duration
	// IsBehind reports whether there is a newer manifest, which this instance hasn't got yet.
	IsBehind func() bool
}

// isBehind reports whether a newer manifest may allow what the one in force doesn't.
func (s *ManifestState) isBehind() bool { return s.IsBehind != nil && s.IsBehind() }

// confirmationMargin is the part of WithdrawWithin that isn't used. It covers the resolution of
// the clocks.
const confirmationMargin = 100 * time.Millisecond

// confirmation tracks whether keys can be checked.
type confirmation struct {
	// lost is true while they can't.
	lost atomic.Bool
	// refused counts the requests that were refused since.
	refused atomic.Int64
}

// confirmsKeys reports whether the manifest in force certainly contains all keys that were withdrawn
// long enough ago.
func (e *Edge) confirmsKeys() bool {
	manifest := &e.cfg.Manifest
	if manifest.WithdrawWithin <= 0 {
		return true
	}
	age := manifest.ConfirmationAge()
	confirmed := age < manifest.WithdrawWithin-confirmationMargin
	switch {
	case !confirmed && !e.keys.lost.Swap(true):
		e.log.Warn().Dur("age", age).Msg("keys_unconfirmed")
	case confirmed && e.keys.lost.Load() && e.keys.lost.Swap(false):
		e.log.Info().Int64("refused", e.keys.refused.Swap(0)).Msg("keys_confirmed")
	}
	return confirmed
}

// identify finds the account of a request by its key. It reports false with the outcome if the
// request is refused.
func (q *request) identify(manifest *fleet.Manifest, header http.Header) (outcome, bool) {
	q.priority = q.route.Priority
	if manifest.Accounts == nil || q.route.Public {
		return outcome{}, true
	}
	if !q.edge.confirmsKeys() {
		q.edge.keys.refused.Add(1)
		q.edge.keysUnconfirmed.Inc(1)
		return refused(reasonKeysUnconfirmed, jitter(minRetryAfter)), false
	}
	// A manifest is put into force before it is confirmed, so this one is the confirmed one or newer.
	manifest = q.edge.views.Load().Manifest
	if manifest.Accounts == nil {
		return outcome{}, true
	}
	q.manifestVersion = manifest.Version
	key, single := platform.Key(header)
	if single {
		q.account = manifest.Accounts.ByKey(key)
	}
	if q.account == nil && q.edge.cfg.Manifest.isBehind() {
		return refused(reasonBehind, jitter(minRetryAfter)), false
	}
	if q.account == nil {
		q.edge.keysUnknown.Inc(1)
		return outcome{status: http.StatusUnauthorized, reason: reasonKey}, false
	}
	if q.account.HasPriority {
		q.priority = q.account.Priority
	}
	return outcome{}, true
}

// accountName returns the name of the account; empty if there is none.
func (q *request) accountName() string {
	if q.account == nil {
		return ""
	}
	return q.account.Name
}
