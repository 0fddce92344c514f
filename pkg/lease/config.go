package lease

import (
	"time"

	"github.com/cyclamenhoist/cyclamenhoist/pkg/port"
)

// The defaults of Config.
const (
	DefaultHeartbeatTimeout = 2 * time.Second
	DefaultSealTimeout      = time.Second
	DefaultClaimStagger     = 200 * time.Millisecond
	DefaultRetry            = 500 * time.Millisecond
	DefaultCopyTimeout      = time.Second
	DefaultMemberTimeout    = 30 * time.Second
	DefaultReclaimInterval  = 10 * time.Second
	DefaultLiveLag          = 30 * time.Second
	DefaultOrderLifetime    = 30 * time.Second
)

// Config configures a Machine. Zero durations take the defaults.
type Config struct {
	// Self is the id of this instance. It must not be reused after a restart.
	Self        port.InstanceID
	PeerAddress string
	Zone        port.Zone
	// ChecksFencing reports whether a server rejects orders with an outdated fencing
	// token. It is called for each decision. Nil means that no server does.
	ChecksFencing func(port.ServerID) bool
	// FencingKnown reports whether it is already known if the server checks fencing
	// tokens. Until it is, a new holder doesn't decide on the server. Nil means that
	// it is always known.
	FencingKnown func(port.ServerID) bool
	// HeartbeatTimeout is how long the holder can be unreachable before other
	// members claim the lease.
	HeartbeatTimeout time.Duration
	// SealTimeout is how long a claimant waits for the replies of the copy holders
	// to its seal requests.
	SealTimeout time.Duration
	// ClaimStagger is the delay between the claims of members of adjacent rank.
	ClaimStagger time.Duration
	// Retry is the delay before an order, a read or an append is retried.
	Retry time.Duration
	// CopyTimeout is how long a proposal waits for all copies, while the log is
	// unavailable, before it is refused.
	CopyTimeout time.Duration
	// MemberTimeout is how long a member can be unreachable and absent from the live
	// list before the holder removes it from the members.
	MemberTimeout time.Duration
	// ReclaimInterval is the minimum interval between two claims of a holder that
	// renews its lease.
	ReclaimInterval time.Duration
	// LiveLag is the maximum staleness of the live list.
	LiveLag time.Duration
	// OrderLifetime is how long an order can be in flight.
	OrderLifetime time.Duration

	faults faults
}

// faults disable single rules of the protocol. Tests set them to verify that the
// exploration detects each violation.
type faults struct {
	// orderBeforeReadBack sends an order before its intent has been read back from
	// the log.
	orderBeforeReadBack bool
	// skipSeal claims the lease without sealing a copy holder.
	skipSeal bool
	// decideAloneAnywhere lets a sole copy holder decide without the log on servers
	// that don't check fencing tokens.
	decideAloneAnywhere bool
	// skipFence trusts reads of servers whose fencing token was not raised.
	skipFence bool
	// sealAnyMember accepts the seal of any member in place of a copy holder's.
	sealAnyMember bool
	// ignoreSuspects decides while holders of suspect epochs may still decide.
	ignoreSuspects bool
	// omitSuspects leaves the suspect epochs of earlier claims out of a claim.
	omitSuspects bool
	// freeEarly reuses the memory of a freed load before the log shows the outcome.
	freeEarly bool
	// trustRefusals accepts a rejected order as proof that its intent has no effect,
	// although the result of an earlier attempt is unknown.
	trustRefusals bool
}

func (c Config) withDefaults() Config {
	for _, d := range []struct {
		field *time.Duration
		value time.Duration
	}{
		{&c.HeartbeatTimeout, DefaultHeartbeatTimeout},
		{&c.SealTimeout, DefaultSealTimeout},
		{&c.ClaimStagger, DefaultClaimStagger},
		{&c.Retry, DefaultRetry},
		{&c.CopyTimeout, DefaultCopyTimeout},
		{&c.MemberTimeout, DefaultMemberTimeout},
		{&c.ReclaimInterval, DefaultReclaimInterval},
		{&c.LiveLag, DefaultLiveLag},
		{&c.OrderLifetime, DefaultOrderLifetime},
	} {
		if *d.field == 0 {
			*d.field = d.value
		}
	}
	if c.ChecksFencing == nil {
		c.ChecksFencing = func(port.ServerID) bool { return false }
	}
	if c.FencingKnown == nil {
		c.FencingKnown = func(port.ServerID) bool { return true }
	}
	return c
}
