// Package settings reads and validates the settings file of one instance.
package settings

import (
	_ "embed"
	"os"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"github.com/cyclamenhoist/cyclamenhoist/pkg/jsonc"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/port"
)

// ErrUnreadable means that the settings file couldn't be opened or read.
var ErrUnreadable = errors.New("settings unreadable")

// The TLS modes of the connections between instances and from operators.
const (
	TLSMutual    = "mutual"
	TLSPlaintext = "plaintext_without_authentication"
)

// Settings is the content of the settings file.
type Settings struct {
	Instance  Instance  `json:"instance"`
	Callers   Callers   `json:"callers"`
	Operators Listener  `json:"operators"`
	Peers     Peers     `json:"peers"`
	TLS       TLS       `json:"tls"`
	Platform  Platform  `json:"platform"`
	Keys      []Key     `json:"keys" validate:"max=10000,unique=Caller,dive"`
	Waiting   Waiting   `json:"waiting"`
	Identity  Identity  `json:"identity"`
	Deciding  Deciding  `json:"deciding"`
	Shutdown  Shutdown  `json:"shutdown"`
	Tracing   Tracing   `json:"tracing"`
	Log       LogOutput `json:"log"`
}

// Instance identifies this process.
type Instance struct {
	// ID is a random UUID, generated at each start, if empty. Two processes must
	// never share an ID, and a process must not reuse its ID after a restart.
	ID   port.InstanceID `json:"id" validate:"max=64"`
	Zone port.Zone       `json:"zone" validate:"required,max=64"`
}

// Listener configures a TCP listener.
type Listener struct {
	Address string `json:"address" validate:"required,hostname_port"`
}

// Callers configures the listener for callers and its limits.
type Callers struct {
	Address string `json:"address" validate:"required,hostname_port"`
	// MaxBodyBytes limits a request's body, MaxHeaderBytes its header.
	MaxBodyBytes   int64 `json:"max_body_bytes" validate:"min=1024,max=1073741824"`
	MaxHeaderBytes int   `json:"max_header_bytes" validate:"min=1024,max=1048576"`
	// MaxConnections limits the open connections, including idle ones.
	MaxConnections int `json:"max_connections" validate:"min=1,max=1000000"`
	// HeaderTimeout limits the time to read a header, BodyTimeout the time to
	// read a body, IdleTimeout the time that a connection stays open without a
	// request, and WriteTimeout the time that one write can block on a slow
	// reader.
	HeaderTimeout jsonc.Duration `json:"header_timeout" validate:"min=10ms,max=10m"`
	BodyTimeout   jsonc.Duration `json:"body_timeout" validate:"min=10ms,max=1h"`
	IdleTimeout   jsonc.Duration `json:"idle_timeout" validate:"min=10ms,max=1h"`
	WriteTimeout  jsonc.Duration `json:"write_timeout" validate:"min=10ms,max=10m"`
}

// Peers configures the listener for other instances.
type Peers struct {
	Address string `json:"address" validate:"required,hostname_port"`
	// Advertise is the address at which other instances reach the listener. If
	// empty, it is the listener's own address.
	Advertise string `json:"advertise" validate:"omitempty,hostname_port"`
}

// TLS configures the listeners for peers and operators, and the calls to peers.
type TLS struct {
	Mode        string `json:"mode" validate:"oneof=mutual plaintext_without_authentication"`
	CA          string `json:"ca" validate:"required_if=Mode mutual,omitempty,file"`
	Certificate string `json:"certificate" validate:"required_if=Mode mutual,omitempty,file"`
	Key         string `json:"key" validate:"required_if=Mode mutual,omitempty,file"`
}

// Platform locates the platform's services.
type Platform struct {
	LogURL   string `json:"log_url" validate:"required,http_url"`
	StoreURL string `json:"store_url" validate:"required,http_url"`
	LiveURL  string `json:"live_url" validate:"required,http_url"`
	// AppendsPerSecond is this instance's share of the log's append rate limit.
	AppendsPerSecond float64 `json:"appends_per_second" validate:"gt=0,max=10000"`
	// LogRetentionRecords is the number of records that the log is guaranteed to
	// retain. At least four snapshots are written within that many records.
	LogRetentionRecords int `json:"log_retention_records" validate:"min=100,max=1000000000"`
}

// Key authorizes one caller.
type Key struct {
	Caller string `json:"caller" validate:"required,max=256"`
	// SHA256 is the SHA-256 hash of the caller's key, as 64 hexadecimal digits.
	SHA256 string `json:"sha256" validate:"required,len=64,hexadecimal"`
	// Models and Paths list what the caller is allowed to use. A trailing "*"
	// matches any suffix. If both lists are empty, everything is allowed.
	Models []string `json:"models" validate:"max=1000"`
	Paths  []string `json:"paths" validate:"max=1000"`
}

// Waiting limits the requests that wait for a model.
type Waiting struct {
	MaxRequests int   `json:"max_requests" validate:"min=1,max=1000000"`
	MaxBytes    int64 `json:"max_bytes" validate:"min=1024,max=17179869184"`
}

// Identity configures the deduplication of requests that mustn't run twice.
type Identity struct {
	// Retention is the time for which the answer of a finished request is
	// retained.
	Retention jsonc.Duration `json:"keep" validate:"min=1s,max=24h"`
	// MaxLogStaleness is the time after the last read of the log for which such
	// requests are still accepted.
	MaxLogStaleness jsonc.Duration `json:"log_outage" validate:"min=1s,max=24h"`
	// MinMembers is the minimum number of eligible instances. It must have the
	// same value at all of them.
	MinMembers int   `json:"min_members" validate:"min=1,max=64"`
	MaxEntries int   `json:"max_entries" validate:"min=16,max=10000000"`
	MaxBytes   int64 `json:"max_bytes" validate:"min=1024,max=17179869184"`
}

// Deciding configures the election of a zone's lease holder and the timing of its
// decisions.
type Deciding struct {
	// Heartbeat is the interval of the exchanges between instances.
	Heartbeat jsonc.Duration `json:"heartbeat" validate:"min=10ms,max=10s"`
	// HolderTimeout is the time without contact from the lease holder after which
	// another instance claims the lease.
	HolderTimeout jsonc.Duration `json:"holder_timeout" validate:"min=100ms,max=1m"`
	// ReportInterval is the interval at which an observed backend server's report
	// is fetched.
	ReportInterval jsonc.Duration `json:"report_interval" validate:"min=10ms,max=1m"`
	// OrderLifetime is the maximum time that an order can be in flight. A backend
	// server that hasn't acted on an order by then never will.
	OrderLifetime jsonc.Duration `json:"order_lifetime" validate:"min=100ms,max=1h"`
	// LiveListLag is the maximum time by which the live list lags.
	LiveListLag jsonc.Duration `json:"live_list_lag" validate:"min=100ms,max=1h"`
}

// Shutdown configures a graceful shutdown.
type Shutdown struct {
	// Delay is the time for which requests are still accepted after the
	// readiness check has started to fail.
	Delay jsonc.Duration `json:"delay" validate:"min=0s,max=10m"`
	// Limit is the time that requests in progress then have to finish.
	Limit jsonc.Duration `json:"limit" validate:"min=100ms,max=24h"`
}

// Tracing configures the export of spans.
type Tracing struct {
	// OTLPURL is the OTLP endpoint over HTTP. If empty, nothing is exported.
	OTLPURL string `json:"otlp_url" validate:"omitempty,http_url"`
	// SampleRatio is the fraction of requests that are traced among those whose
	// caller made no sampling decision.
	SampleRatio float64 `json:"sample_ratio" validate:"min=0,max=1"`
}

// LogOutput configures the log.
type LogOutput struct {
	Level string `json:"level" validate:"oneof=debug info warn error"`
}

//go:embed example.jsonc
var example string

// Example returns a commented settings file that holds the defaults.
func Example() string { return example }

// Defaults returns the settings that apply where a file sets no value. The zone and
// the URLs of the platform have no default.
func Defaults() Settings {
	var s Settings
	if err := jsonc.Decode([]byte(example), &s); err != nil {
		panic("embedded example is invalid: " + err.Error())
	}
	s.Instance.Zone = ""
	s.Platform.LogURL, s.Platform.StoreURL, s.Platform.LiveURL = "", "", ""
	return s
}

// Parse decodes a settings file over the defaults and validates it. For an invalid
// file the error is a jsonc.Faults that lists every fault.
func Parse(data []byte) (*Settings, error) {
	s := Defaults()
	var faults jsonc.Faults
	if err := jsonc.Decode(data, &s); err != nil && !errors.As(err, &faults) {
		return nil, errors.Wrap(err, "decode settings")
	}
	faults = append(faults, crossFieldFaults(&s)...)
	if len(faults) > 0 {
		return nil, faults
	}
	return &s, nil
}

// Load reads the settings file at path and parses it as Parse does. The error is
// ErrUnreadable if the file can't be read.
func Load(path string) (*Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(errors.Join(ErrUnreadable, err), path)
	}
	return Parse(data)
}

// minHolderHeartbeats is the minimum number of heartbeats that must be missed before
// the lease holder counts as unreachable.
const minHolderHeartbeats = 3

func crossFieldFaults(s *Settings) jsonc.Faults {
	var faults jsonc.Faults
	add := func(path, problem string) {
		faults = append(faults, jsonc.Fault{Path: path, Problem: problem})
	}
	if s.Deciding.HolderTimeout < minHolderHeartbeats*s.Deciding.Heartbeat {
		add("deciding.holder_timeout", "must be at least three heartbeats, is "+s.Deciding.HolderTimeout.D().String())
	}
	addresses := map[string]string{}
	for _, listener := range []struct{ path, address string }{
		{"callers.address", s.Callers.Address},
		{"operators.address", s.Operators.Address},
		{"peers.address", s.Peers.Address},
	} {
		if other, taken := addresses[listener.address]; taken && !strings.HasSuffix(listener.address, ":0") {
			add(listener.path, "must differ from "+other)
		}
		addresses[listener.address] = listener.path
	}
	return faults
}

// HeartbeatInterval returns the interval of the exchanges between instances.
func (s *Settings) HeartbeatInterval() time.Duration { return s.Deciding.Heartbeat.D() }
