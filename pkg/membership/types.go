package membership

import (
	"cmp"
	"time"

	"github.com/cyclamenhoist/cyclamenhoist/pkg/port"
)

// Config holds the bounds and periods of a Table. Zero fields take the default.
type Config struct {
	// Self describes this instance.
	Self port.Instance
	// DeadAfter is how long an instance of this zone may give no sign before it
	// counts as dead. Instances of other zones get FarDeadAfter.
	DeadAfter, FarDeadAfter time.Duration
	// ListGrace is how long an instance that only the live list names counts as
	// alive before the first sign of its own.
	ListGrace time.Duration
	// ReportFresh is how long a report proves that a server is alive which the
	// live list doesn't name.
	ReportFresh time.Duration
	// UnlistedGrace is how long a server stays routable that the live list has
	// stopped to name, so that reports of those that are alive can arrive. It
	// exceeds ReportFresh.
	UnlistedGrace time.Duration
	// ForgetAfter is how long a dead instance or a vanished server is kept, so
	// that late news of it isn't taken for a new arrival.
	ForgetAfter time.Duration
	// MaxServers and MaxInstances bound the table.
	MaxServers, MaxInstances int
	// LoadStep is the change of a server's requests in flight and queued that is
	// worth telling others, as a part of the value last told; LoadFloor is the
	// least such change in requests.
	LoadStep  float64
	LoadFloor int
	// LoadRefresh is how long an insignificant change is held back at most.
	LoadRefresh time.Duration
	// FarHeartbeatStride is by how much the heartbeat of another zone's instance
	// must grow to be passed on.
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

// ServerView is what the table knows of one backend server.
type ServerView struct {
	Server port.Server
	// Reported says that Report holds the newest report known.
	Reported bool
	Report   port.Report
	// ReportAt is the local time that Report describes at the latest.
	ReportAt time.Time
	// Listed says that the newest live list names the server.
	Listed bool
	// Routable is false for a leaving server, and for one that the live list
	// doesn't name and of which there is no fresh report.
	Routable bool
}

// InstanceView is what the table knows of one instance.
type InstanceView struct {
	Instance  port.Instance
	Heartbeat uint64
	// LastSign is when the heartbeat was last seen to grow, or the instance was
	// last in contact; zero if it never was.
	LastSign time.Time
	Listed   bool
	// Alive counts leaving instances in: they answer until they end.
	Alive bool
}

// View is an immutable copy of the table.
type View struct {
	At        time.Time
	Instances []InstanceView
	Servers   []ServerView
	// ListAt is the local time of the newest live list; zero if there was none.
	ListAt time.Time
}

// Delta is what one instance tells another in one exchange.
type Delta struct {
	// From is the sender, and Heartbeat its own counter.
	From      port.Instance
	Heartbeat uint64
	// Version is the sender's table version that the receiver holds once it has
	// merged this delta.
	Version uint64
	// Seen is the receiver's version that the sender has merged.
	Seen      uint64
	Instances []InstanceObservation
	Servers   []ServerObservation
	// Want lists servers whose full state the sender lacks.
	Want []port.ServerID
}

// InstanceObservation is one instance in a Delta.
type InstanceObservation struct {
	// Instance has only its ID set where the receiver knows the rest.
	Instance  port.Instance
	Heartbeat uint64
	// HeartbeatOnly says that nothing but ID and Heartbeat is set.
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
	// Age is how old the report was when the delta was made.
	Age time.Duration
	// LoadOnly says that the rest of the report is as StateHash says.
	LoadOnly  bool
	StateHash uint64
}
