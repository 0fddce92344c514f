// Package settings reads the settings file of one instance.
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

// ErrUnreadable means that the settings file couldn't be read at all.
var ErrUnreadable = errors.New("settings unreadable")

// The two ways that links between instances and for operators can be run.
const (
	TLSMutual    = "mutual"
	TLSPlaintext = "plaintext_without_authentication"
)

// Settings is the whole settings file.
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

// Instance says who this process is.
type Instance struct {
	// ID is chosen at random at each start if empty. Two processes must never
	// share an ID, and a restarted process must not keep one.
	ID   port.InstanceID `json:"id" validate:"max=64"`
	Zone port.Zone       `json:"zone" validate:"required,max=64"`
}

// Listener is one TCP listener.
type Listener struct {
	Address string `json:"address" validate:"required,hostname_port"`
}

// Callers bounds the listener for callers.
type Callers struct {
	Address string `json:"address" validate:"required,hostname_port"`
	// MaxBodyBytes bounds a request's body, MaxHeaderBytes its header.
	MaxBodyBytes   int64 `json:"max_body_bytes" validate:"min=1024,max=1073741824"`
	MaxHeaderBytes int   `json:"max_header_bytes" validate:"min=1024,max=1048576"`
	// MaxConnections bounds open connections, idle ones included.
	MaxConnections int `json:"max_connections" validate:"min=1,max=1000000"`
	// HeaderTimeout bounds the time to read a header, BodyTimeout the time to
	// read a body, IdleTimeout the time a connection stays open without a
	// request, WriteTimeout the time one write may block on a slow reader.
	HeaderTimeout jsonc.Duration `json:"header_timeout" validate:"min=10ms,max=10m"`
	BodyTimeout   jsonc.Duration `json:"body_timeout" validate:"min=10ms,max=1h"`
	IdleTimeout   jsonc.Duration `json:"idle_timeout" validate:"min=10ms,max=1h"`
	WriteTimeout  jsonc.Duration `json:"write_timeout" validate:"min=10ms,max=10m"`
}

// Peers is the listener for other instances.
type Peers struct {
	Address string `json:"address" validate:"required,hostname_port"`
	// Advertise is the address that others reach; the listener's own if empty.
	Advertise string `json:"advertise" validate:"omitempty,hostname_port"`
}

// TLS protects the listeners for peers and operators, and the calls to peers.
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
	// AppendsPerSecond is this instance's part of the log's append budget.
	AppendsPerSecond float64 `json:"appends_per_second" validate:"gt=0,max=10000"`
	// LogRetentionRecords is how many records the log is sure to keep; a
	// snapshot is written at least four times in that span.
	LogRetentionRecords int `json:"log_retention_records" validate:"min=100,max=1000000000"`
}

// Key lets one caller in.
type Key struct {
	Caller string `json:"caller" validate:"required,max=256"`
	// SHA256 is the hash of the caller's key, as 64 hexadecimal digits.
	SHA256 string `json:"sha256" validate:"required,len=64,hexadecimal"`
	// Models and Paths bound what the caller may reach; a trailing "*" matches
	// any rest, and an empty list allows all.
	Models []string `json:"models" validate:"max=1000"`
	Paths  []string `json:"paths" validate:"max=1000"`
}

// Waiting bounds the requests that wait for a model.
type Waiting struct {
	MaxRequests int   `json:"max_requests" validate:"min=1,max=1000000"`
	MaxBytes    int64 `json:"max_bytes" validate:"min=1024,max=17179869184"`
}

// Identity bounds the record of requests that mustn't run twice.
type Identity struct {
	// Keep is how long the answer of a finished request is kept.
	Keep jsonc.Duration `json:"keep" validate:"min=1s,max=24h"`
	// LogOutage is how long after the log was last read such requests are still
	// taken.
	LogOutage jsonc.Duration `json:"log_outage" validate:"min=1s,max=24h"`
	// MinMembers is how many eligible instances there must be. It must be the
	// same at all of them.
	MinMembers int   `json:"min_members" validate:"min=1,max=64"`
	MaxEntries int   `json:"max_entries" validate:"min=16,max=10000000"`
	MaxBytes   int64 `json:"max_bytes" validate:"min=1024,max=17179869184"`
}

// Deciding times the choice of a zone's deciding instance.
type Deciding struct {
	// Heartbeat is the interval of exchanges between instances.
	Heartbeat jsonc.Duration `json:"heartbeat" validate:"min=10ms,max=10s"`
	// HolderTimeout is how long the holder may be silent before another claims.
	HolderTimeout jsonc.Duration `json:"holder_timeout" validate:"min=100ms,max=1m"`
	// ReportInterval is how often a watched backend server is read.
	ReportInterval jsonc.Duration `json:"report_interval" validate:"min=10ms,max=1m"`
	// OrderLifetime is the longest time that an order can be under way before
	// a backend server acts on it or never will.
	OrderLifetime jsonc.Duration `json:"order_lifetime" validate:"min=100ms,max=1h"`
	// LiveListLag is the longest time by which the live list lags.
	LiveListLag jsonc.Duration `json:"live_list_lag" validate:"min=100ms,max=1h"`
}

// Shutdown bounds a planned stop.
type Shutdown struct {
	// Delay is how long requests are still taken after readiness has failed.
	Delay jsonc.Duration `json:"delay" validate:"min=0s,max=10m"`
	// Limit is how long requests in progress may take to finish after that.
	Limit jsonc.Duration `json:"limit" validate:"min=100ms,max=24h"`
}

// Tracing exports spans.
type Tracing struct {
	// OTLPURL is the OTLP endpoint over HTTP; nothing is exported if empty.
	OTLPURL string `json:"otlp_url" validate:"omitempty,http_url"`
	// SampleRatio is the part of requests without a caller's decision that are
	// traced.
	SampleRatio float64 `json:"sample_ratio" validate:"min=0,max=1"`
}

// LogOutput sets the verbosity of the log.
type LogOutput struct {
	Level string `json:"level" validate:"oneof=debug info warn error"`
}

//go:embed example.jsonc
var example string

// Example returns a commented settings file that holds the defaults.
func Example() string { return example }

// Defaults returns the settings that hold where a file is silent.
func Defaults() Settings {
	var s Settings
	if err := jsonc.Decode([]byte(example), &s); err != nil {
		panic("embedded example is invalid: " + err.Error())
	}
	s.Instance.Zone = ""
	s.Platform.LogURL, s.Platform.StoreURL, s.Platform.LiveURL = "", "", ""
	return s
}

// Parse reads a settings file over the defaults. A faulty one gives jsonc.Faults
// with every fault.
func Parse(data []byte) (*Settings, error) {
	s := Defaults()
	var faults jsonc.Faults
	if err := jsonc.Decode(data, &s); err != nil && !errors.As(err, &faults) {
		return nil, errors.Wrap(err, "decode settings")
	}
	faults = append(faults, crossFaults(&s)...)
	if len(faults) > 0 {
		return nil, faults
	}
	return &s, nil
}

// Load reads the settings file at path.
func Load(path string) (*Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(errors.Join(ErrUnreadable, err), path)
	}
	return Parse(data)
}

// minHolderBeats is how many heartbeats must be missed at the least before a
// holder counts as silent.
const minHolderBeats = 3

func crossFaults(s *Settings) jsonc.Faults {
	var faults jsonc.Faults
	add := func(path, problem string) {
		faults = append(faults, jsonc.Fault{Path: path, Problem: problem})
	}
	if s.Deciding.HolderTimeout < minHolderBeats*s.Deciding.Heartbeat {
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

// HeartbeatInterval returns the interval of exchanges between instances.
func (s *Settings) HeartbeatInterval() time.Duration { return s.Deciding.Heartbeat.D() }
