package standin

import (
	_ "embed" // for Targets
	"time"

	"github.com/cyclamenhoist/cyclamenhoist/pkg/jsonc"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/port"
)

// Targets is a targets document for a platform with the default settings.
//
//go:embed targets.jsonc
var Targets string

// Settings configures the stand-ins of a platform.
type Settings struct {
	// Host is the address that every stand-in listens on.
	Host string `json:"host" validate:"required,ip"`
	// BasePort is the port of the control listener. The log, the weight store,
	// the live list and the servers use the ports after it, in this order. With 0
	// every listener uses a free port.
	BasePort int `json:"base_port" validate:"min=0,max=60000"`
	// Zones are the availability zones with their servers.
	Zones []ZoneSettings `json:"zones" validate:"required,min=1,max=16,unique=Name,dive"`
	// EngineService and PlainService are the service names of the model engines
	// and of the plain servers.
	EngineService string `json:"engine_service" validate:"required,max=64"`
	PlainService  string `json:"plain_service" validate:"required,max=64"`
	// Models is the catalog of the weight store.
	Models []ModelSettings `json:"models" validate:"max=20000,unique=ID,dive"`
	Engine EngineSettings  `json:"engine"`
	Log    LogSettings     `json:"log"`
	Store  StoreSettings   `json:"store"`
	Live   LiveSettings    `json:"live"`
}

// ZoneSettings configures one availability zone.
type ZoneSettings struct {
	Name    port.Zone `json:"name" validate:"required,max=64"`
	Engines int       `json:"engines" validate:"min=0,max=256"`
	Plain   int       `json:"plain" validate:"min=0,max=256"`
}

// ModelSettings is one model or adapter in the catalog.
type ModelSettings struct {
	ID port.ModelID `json:"id" validate:"required,max=256"`
	// Base is the base model of an adapter, and empty for other models.
	Base  port.ModelID `json:"base" validate:"max=256"`
	Bytes int64        `json:"bytes" validate:"min=1"`
}

// EngineSettings configures all model engines.
type EngineSettings struct {
	// MemoryBytes is the accelerator memory of a server. OlderBytes is the part of
	// it that the older system uses.
	MemoryBytes int64 `json:"memory_bytes" validate:"min=1"`
	OlderBytes  int64 `json:"older_bytes" validate:"min=0"`
	// TokensPerSecond is the generation rate of each answer.
	TokensPerSecond float64 `json:"tokens_per_second" validate:"gt=0,max=100000"`
	// Slots is the maximum number of answers in progress. QueueLimit is the maximum
	// number of requests waiting for a slot; further ones are refused.
	Slots      int `json:"slots" validate:"min=1,max=10000"`
	QueueLimit int `json:"queue_limit" validate:"min=0,max=100000"`
	// PrefixCache is the number of prompt prefixes that a server caches.
	// PrefillTime is the delay before the first token of a prompt whose prefix
	// isn't cached.
	PrefixCache int            `json:"prefix_cache" validate:"min=1,max=100000"`
	PrefillTime jsonc.Duration `json:"prefill_time" validate:"min=0,max=1m"`
	// LoadOverhead is the duration of a load in addition to reading the weights.
	LoadOverhead jsonc.Duration `json:"load_overhead" validate:"min=0,max=10m"`
	// ChecksFencing makes engines reject orders with an outdated fencing token.
	ChecksFencing bool `json:"checks_fencing"`
	// ReportLag is the age of the state that reports show.
	ReportLag jsonc.Duration `json:"report_lag" validate:"min=0,max=10m"`
	// CacheCheckpoints makes a server cache weights on disk once it has loaded
	// them, so that later loads don't use the weight store.
	CacheCheckpoints bool `json:"cache_checkpoints"`
	// DiskBytesPerSecond is the read rate of loads from the disk cache.
	DiskBytesPerSecond int64 `json:"disk_bytes_per_second" validate:"min=1"`
}

// LogSettings configures the log service.
type LogSettings struct {
	// AppendsPerSecond is the rate limit of appends; further ones are refused.
	AppendsPerSecond float64 `json:"appends_per_second" validate:"gt=0,max=1000000"`
	// RetainRecords and RetainFor are the maximum number and the maximum age of
	// retained records.
	RetainRecords int            `json:"retain_records" validate:"min=1,max=10000000"`
	RetainFor     jsonc.Duration `json:"retain_for" validate:"min=1ms,max=8760h"`
}

// StoreSettings configures the weight store.
type StoreSettings struct {
	// LoadsPerSecond is the rate limit of transfer starts; further ones are
	// queued.
	LoadsPerSecond float64 `json:"loads_per_second" validate:"gt=0,max=10000"`
	// AtOnce is the number of concurrent transfers that run at full speed; more
	// transfers share the bandwidth.
	AtOnce int `json:"at_once" validate:"min=1,max=10000"`
	// BytesPerSecond is the full speed of one transfer.
	BytesPerSecond int64 `json:"bytes_per_second" validate:"min=1"`
}

// LiveSettings configures the live list.
type LiveSettings struct {
	// Lag is the delay until a change of the actual state appears in the list.
	Lag jsonc.Duration `json:"lag" validate:"min=0,max=1h"`
}

const gib = int64(1) << 30

// Defaults returns the settings of a platform with two zones, each with two engines
// and one plain server. A load takes about one second.
func Defaults() Settings {
	return Settings{
		Host: "127.0.0.1",
		Zones: []ZoneSettings{
			{Name: "zone-a", Engines: 2, Plain: 1},
			{Name: "zone-b", Engines: 2, Plain: 1},
		},
		EngineService: "engines",
		PlainService:  "entries",
		Models: []ModelSettings{
			{ID: "shoreline-summary", Bytes: 8 * gib},
			{ID: "entry-assistant", Bytes: 6 * gib},
			{ID: "protest-review", Bytes: 12 * gib},
			{ID: "entry-assistant-thai", Base: "entry-assistant", Bytes: gib / 4},
		},
		Engine: EngineSettings{
			MemoryBytes: 40 * gib, OlderBytes: 8 * gib, TokensPerSecond: 200, Slots: 64, QueueLimit: 1024,
			PrefixCache:  64,
			LoadOverhead: jsonc.Duration(200 * time.Millisecond), ChecksFencing: true,
			CacheCheckpoints: true, DiskBytesPerSecond: 32 * gib,
		},
		Log: LogSettings{AppendsPerSecond: 400, RetainRecords: 1_000_000, RetainFor: jsonc.Duration(time.Hour)},
		Store: StoreSettings{
			LoadsPerSecond: 2.5, AtOnce: 4, BytesPerSecond: 8 * gib,
		},
		Live: LiveSettings{Lag: jsonc.Duration(500 * time.Millisecond)},
	}
}

// Fast returns the default settings with loads and answers that take a few
// milliseconds, no lag, and rate limits that tests don't reach.
func Fast() Settings {
	s := Defaults()
	s.Engine.LoadOverhead = 0
	s.Engine.TokensPerSecond = 5000
	s.Engine.DiskBytesPerSecond = 1 << 42
	s.Store.BytesPerSecond = 1 << 42
	s.Store.LoadsPerSecond = 1000
	s.Log.AppendsPerSecond = 100_000
	s.Live.Lag = 0
	return s
}
