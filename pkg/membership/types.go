package membership

import (
	"cmp"
	"time"

	"github.com/cyclamenhoist/cyclamenhoist/pkg/port"
)

// Config holds the limits and timeouts of a Table. Zero fields get their defaults.
type Config struct {
	// Self describes this instance.
	Self port.Instance
	// DeadAfter is the time without contact and without a new heartbeat after
	// which an instance of this zone counts as dead. FarDeadAfter is the same for
	// instances of other zones.
	DeadAfter, FarDeadAfter time.Duration
	// ListGrace is how long an instance in the live list counts as alive before
	// its first contact or heartbeat. It is also how long answers of the live
	// list with an older compile time are treated as outdated.
	ListGrace time.Duration
	// ReportFresh is the age up to which a report proves that a server is alive,
	// even if the server isn't in the live list.
	ReportFresh time.Duration
	// UnlistedGrace is how long a server stays routable after it was last in the
	// live list. In this time, reports can arrive that show that it is alive. It
	// must exceed ReportFresh.
	UnlistedGrace time.Duration
	// ForgetAfter is how long a dead instance or a removed server is retained as
	// a tombstone, so that a delayed message doesn't add it again.
	ForgetAfter time.Duration
	// MaxServers and MaxInstances bound the number of entries in the table.
	MaxServers, MaxInstances int
	// LoadStep is the change of a server's load (requests in flight and queued)
	// that is sent to other instances, as a fraction of the load last sent.
	// LoadFloor is the minimum change that is sent, in requests.
	LoadStep  float64
	LoadFloor int
	// LoadRefresh is the maximum time between two loads that are sent. After it,
	// even a smaller change is sent.
	LoadRefresh time.Duration
	// FarHeartbeatStride is the interval at which heartbeats are forwarded across
	// zones, in heartbeats: one is forwarded whenever the counter passes a
	// multiple of it.
	FarHeartbeatStride uint64
}

// The defaults of Config.
const (
	DefaultDeadAfter          = 4 * time.Second
	DefaultFarDeadAfter       = 45 * time.Second
	DefaultListGrace          = 30 * time.Second
	DefaultReportFresh        = 5 * time.Second
	DefaultUnlistedGrace      = 2 * DefaultReportFresh
	DefaultForgetAfter        = time.Hour
	DefaultMaxServers         = 16384
	DefaultMaxInstances       = 2048
	DefaultLoadStep           = 0.5
	DefaultLoadFloor          = 8
	DefaultLoadRefresh        = time.Minute
	DefaultFarHeartbeatStride = 10
)

func (c Config) withDefaults() Config {
	c.DeadAfter = cmp.Or(c.DeadAfter, DefaultDeadAfter)
	c.FarDeadAfter = cmp.Or(c.FarDeadAfter, DefaultFarDeadAfter)
	c.ListGrace = cmp.Or(c.ListGrace, DefaultListGrace)
	c.ReportFresh = cmp.Or(c.ReportFresh, DefaultReportFresh)
	c.UnlistedGrace = cmp.Or(c.UnlistedGrace, DefaultUnlistedGrace)
	c.ForgetAfter = cmp.Or(c.ForgetAfter, DefaultForgetAfter)
	c.MaxServers = cmp.Or(c.MaxServers, DefaultMaxServers)
	c.MaxInstances = cmp.Or(c.MaxInstances, DefaultMaxInstances)
	c.LoadStep = cmp.Or(c.LoadStep, DefaultLoadStep)
	c.LoadFloor = cmp.Or(c.LoadFloor, DefaultLoadFloor)
	c.LoadRefresh = cmp.Or(c.LoadRefresh, DefaultLoadRefresh)
	c.FarHeartbeatStride = cmp.Or(c.FarHeartbeatStride, DefaultFarHeartbeatStride)
	return c
}

// ServerView is the state of one backend server in the table.
type ServerView struct {
	Server port.Server
	// Reported is set if Report holds the newest report of the server. It is
	// false if there was no report yet.
	Reported bool
	Report   port.Report
	// ReportAt is the local time at which Report was read. For a report received
	// through other instances, it is computed from the age in the delta.
	ReportAt time.Time
	// Listed is set if the server is in the newest live list.
	Listed bool
	// Routable is false for a leaving server. Once a live list has been received,
	// it is also false for a server that hasn't been in a live list for
	// UnlistedGrace and has no report newer than ReportFresh.
	Routable bool
}

// InstanceView is the state of one instance in the table.
type InstanceView struct {
	Instance  port.Instance
	Heartbeat uint64
	// LastContact is when the heartbeat last advanced or the instance was last
	// contacted, whichever is later; zero if neither has happened.
	LastContact time.Time
	Listed      bool
	// Alive is also set for leaving instances: they answer until they end.
	Alive bool
}

// View is an immutable snapshot of the table.
type View struct {
	At        time.Time
	Instances []InstanceView
	Servers   []ServerView
	// ListAt is the local time at which the newest live list was merged; zero if
	// there was none.
	ListAt time.Time
}

// Delta is the message from one instance to another in an exchange: the entries
// that the receiver hasn't acknowledged.
type Delta struct {
	// From is the sender, and Heartbeat its current heartbeat counter.
	From      port.Instance
	Heartbeat uint64
	// Version is the version of the sender's table up to which the receiver is
	// current once it has merged this delta.
	Version uint64
	// Seen is the version of the receiver's table that the sender has merged.
	Seen      uint64
	Instances []InstanceObservation
	Servers   []ServerObservation
	// Want lists the servers whose full state the sender requests.
	Want []port.ServerID
}

// InstanceObservation is one instance in a Delta.
type InstanceObservation struct {
	// Instance has only its ID set if HeartbeatOnly.
	Instance  port.Instance
	Heartbeat uint64
	// HeartbeatOnly means that only the ID and Heartbeat are set, because the
	// receiver already has the rest.
	HeartbeatOnly bool
}

// ServerObservation is one backend server in a Delta.
type ServerObservation struct {
	// Server has only its ID set if LoadOnly.
	Server port.Server
	// Generation is zero if there was no report yet.
	Generation uint64
	// Report has only Incarnation, Sequence, InFlight and Queued set if LoadOnly.
	Report port.Report
	// Age is the age of the report when the delta was created.
	Age time.Duration
	// LoadOnly means that the rest of the report is omitted because it hasn't
	// changed. StateHash is its hash, by which the receiver checks that it has
	// the same state.
	LoadOnly  bool
	StateHash uint64
}
