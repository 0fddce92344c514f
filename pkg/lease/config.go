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
	DefaultOrderLife        = 30 * time.Second
)

// Config is what a Machine is made with. Zero durations take the defaults.
type Config struct {
	// Self must never be used again after a restart.
	Self        port.InstanceID
	PeerAddress string
	Zone        port.Zone
	// ChecksFencing says whether a server refuses orders with an old fencing
	// number. It is asked anew for each decision; nil means that none does.
	ChecksFencing func(port.ServerID) bool
	// FencingKnown says whether ChecksFencing already knows the server and the
	// targets. Until then a new holder doesn't count the server as read. Nil
	// means that it always does.
	FencingKnown func(port.ServerID) bool
	// HeartbeatTimeout is how long the holder may be silent before others
	// claim.
	HeartbeatTimeout time.Duration
	// SealTimeout is how long a claimant waits for a copy holder's answer.
	SealTimeout time.Duration
	// ClaimStagger separates the claims of the members by their rank.
	ClaimStagger time.Duration
	// Retry is the pause before an order, read or append is tried again.
	Retry time.Duration
	// CopyTimeout is how long a proposal waits for all copies while the log is
	// away before it is refused.
	CopyTimeout time.Duration
	// MemberTimeout is how long a member may be silent, and off the live list,
	// before the holder takes it off the members.
	MemberTimeout time.Duration
	// ReclaimInterval is the shortest time between two claims of a holder that
	// renews its copy holders.
	ReclaimInterval time.Duration
	// LiveLag is how far the live list may lag behind the truth.
	LiveLag time.Duration
	// OrderLife is how long an order may be in flight.
	OrderLife time.Duration

	faults faults
}

// faults are planted by tests to see that the tests find them.
type faults struct {
	// orderBeforeReadBack sends orders without reading the intent back.
	orderBeforeReadBack bool
	// skipSeal claims without sealing anyone.
	skipSeal bool
	// aloneAnywhere lets a lone holder decide on servers that don't check.
	aloneAnywhere bool
	// skipFence trusts reads of servers where the number was not raised.
	skipFence bool
	// sealAnyMember takes the seal of any member for that of a copy holder.
	sealAnyMember bool
	// ignoreDoubts decides while older holders may still decide.
	ignoreDoubts bool
	// forgetDoubts leaves the doubts of earlier claimants out of a claim.
	forgetDoubts bool
	// freeEarly reuses the memory of a freed load before the log shows it.
	freeEarly bool
	// trustRefusals takes a refusal as proof though an attempt is unaccounted.
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
		{&c.OrderLife, DefaultOrderLife},
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
