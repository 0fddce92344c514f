package fleetapp

import (
	_ "embed"
	"os"
	"time"

	"github.com/go-faster/errors"

	"github.com/cyclamenhoist/cyclamenhoist/pkg/jsonc"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/limit"
)

// ErrSettings means that the settings file could not be read.
var ErrSettings = errors.New("settings unreadable")

// Settings is the settings file of an instance on the platform.
type Settings struct {
	Instance  Identity  `json:"instance"`
	Clients   Listener  `json:"clients"`
	Readiness Listener  `json:"readiness"`
	Peers     Listener  `json:"peers"`
	Metrics   Listener  `json:"metrics"`
	Store     Listener  `json:"store"`
	Machine   Machine   `json:"machine"`
	Manifest  Manifest  `json:"manifest"`
	Servers   Servers   `json:"servers"`
	Retries   Retries   `json:"retries"`
	Placing   Placing   `json:"placing"`
	Accounts  Accounts  `json:"accounts"`
	Shutdown  Shutdown  `json:"shutdown"`
	Tracing   Tracing   `json:"tracing"`
	Log       LogOutput `json:"log"`
}

// Identity identifies the instance and its availability zone.
type Identity struct {
	Name string `json:"name" validate:"required,max=128"`
	Zone string `json:"zone" validate:"required,max=64"`
}

// Listener is one TCP address in the form IP:port.
type Listener struct {
	Address string `json:"address" validate:"required,hostname_port"`
}

// Machine is what the process can use: memory in MB, CPU cores, the part of each core's time, the
// bandwidth of the network link in Mbit/s, and file descriptors. The last three are 0 if unknown.
type Machine struct {
	MemoryMB  float64 `json:"memory_mb" validate:"min=32,max=1048576"`
	Cores     float64 `json:"cores" validate:"gt=0,max=1024"`
	CoreShare float64 `json:"core_share" validate:"min=0,max=1"`
	LinkMbps  float64 `json:"link_mbps" validate:"min=0,max=10000000"`
	MaxFDs    int     `json:"max_fds" validate:"min=0,max=100000000"`
}

// Servers configures how backend servers are used.
type Servers struct {
	// DrainTimeout is the time within which a server that is listed as draining
	// stops receiving new requests.
	DrainTimeout jsonc.Duration `json:"leave_within" validate:"min=100ms,max=1m"`
}

// Manifest configures how soon manifests come into force.
type Manifest struct {
	// ApplyWithin is the time within which a published manifest must be in force at each instance that
	// reaches the store.
	ApplyWithin jsonc.Duration `json:"apply_within" validate:"min=500ms,max=1m"`
}

// Retries is the retry budget of one service, over all instances: in any Window
// at most Ratio times the number of requests, plus Extra.
type Retries struct {
	Ratio  float64        `json:"ratio" validate:"min=0,max=1"`
	Extra  float64        `json:"extra" validate:"min=0,max=1000000"`
	Window jsonc.Duration `json:"window" validate:"min=1s,max=10m"`
	// Instances is the number of instances that share the budget until their
	// actual number is known. If it is 0, none of them uses Extra until then.
	Instances int `json:"instances" validate:"min=0,max=10000"`
}

// Placing configures the lease under which one instance places models.
type Placing struct {
	Lease jsonc.Duration `json:"lease" validate:"min=100ms,max=1m"`
	// ServersCheckEpochs means that servers reject orders with an older epoch.
	ServersCheckEpochs bool `json:"servers_check_epochs"`
}

// Accounts configures the keys of client accounts.
type Accounts struct {
	// StrictWithdrawal means that a withdrawn key ceases to work within WithdrawWithin at every
	// instance. One that can't find out in time refuses requests with keys.
	StrictWithdrawal bool           `json:"strict_withdrawal"`
	WithdrawWithin   jsonc.Duration `json:"withdraw_within" validate:"min=1s,max=1h"`
	// An account may exceed its limit within any QuotaWindow by QuotaExcessRatio times what the limit
	// allows there and by QuotaExcess, in the unit of the limit.
	QuotaWindow      jsonc.Duration `json:"quota_window" validate:"min=0s,max=1h"`
	QuotaExcessRatio float64        `json:"quota_excess_ratio" validate:"min=0,max=10"`
	QuotaExcess      float64        `json:"quota_excess" validate:"min=0,max=1e15"`
}

func (a Accounts) tolerance() limit.QuotaTolerance {
	return limit.QuotaTolerance{Window: a.QuotaWindow.D(), Ratio: a.QuotaExcessRatio, Amount: a.QuotaExcess}
}

// withdrawal returns the time after which an instance needs a confirmation that its manifest is the
// newest; 0 if it needs none.
func (a Accounts) withdrawal() time.Duration {
	if !a.StrictWithdrawal {
		return 0
	}
	return a.WithdrawWithin.D()
}

// Shutdown configures a graceful shutdown. Grace is the maximum time from the
// signal to the end of the process.
type Shutdown struct {
	Grace jsonc.Duration `json:"grace" validate:"min=1s,max=24h"`
}

// Tracing configures the export of spans.
type Tracing struct {
	// OTLPURL is the OTLP endpoint over HTTP. If it is empty, nothing is
	// exported.
	OTLPURL     string  `json:"otlp_url" validate:"omitempty,http_url"`
	SampleRatio float64 `json:"sample_ratio" validate:"min=0,max=1"`
}

// LogOutput configures the level of the log and the rate limit of its lines.
type LogOutput struct {
	Level          string  `json:"level" validate:"oneof=debug info warn error"`
	LinesPerSecond float64 `json:"lines_per_second" validate:"min=1,max=100000"`
}

//go:embed example.jsonc
var example string

// Example returns a commented settings file with the defaults.
func Example() string { return example }

// Parse decodes a settings file and adds the defaults. If the settings are
// invalid, the error is jsonc.Faults with every fault.
func Parse(data []byte) (*Settings, error) {
	var s Settings
	if err := jsonc.Decode([]byte(example), &s); err != nil {
		return nil, errors.Wrap(err, "embedded example")
	}
	s.Instance = Identity{}
	for _, listener := range []*Listener{&s.Clients, &s.Readiness, &s.Peers, &s.Metrics, &s.Store} {
		*listener = Listener{}
	}
	if err := jsonc.Decode(data, &s); err != nil {
		return nil, err
	}
	return &s, nil
}

// Load reads and parses the settings file at path.
func Load(path string) (*Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Join(ErrSettings, err)
	}
	return Parse(data)
}
