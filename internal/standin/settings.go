package standin

import (
	_ "embed" // the targets
	"time"

	"github.com/cyclamenhoist/cyclamenhoist/pkg/jsonc"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/port"
)

// Targets is a targets document that fits the default settings.
//
//go:embed targets.jsonc
var Targets string

// Settings describes a platform to stand in for.
type Settings struct {
	// Host is the address that every stand-in listens on.
	Host string `json:"host" validate:"required,ip"`
	// BasePort is the port of the control listener. The log, the weight store,
	// the live list and the servers take the ports after it, in this order; 0
	// means that every listener takes a free port.
	BasePort int `json:"base_port" validate:"min=0,max=60000"`
	// Zones are the availability zones with their servers.
	Zones []ZoneSettings `json:"zones" validate:"required,min=1,max=16,unique=Name,dive"`
	// EngineService and PlainService name the two services.
	EngineService string `json:"engine_service" validate:"required,max=64"`
	PlainService  string `json:"plain_service" validate:"required,max=64"`
	// Models is the catalog of the weight store.
	Models []ModelSettings `json:"models" validate:"max=20000,unique=ID,dive"`
	Engine EngineSettings  `json:"engine"`
	Log    LogSettings     `json:"log"`
	Store  StoreSettings   `json:"store"`
	Live   LiveSettings    `json:"live"`
}

// ZoneSettings is one availability zone.
type ZoneSettings struct {
	Name    port.Zone `json:"name" validate:"required,max=64"`
	Engines int       `json:"engines" validate:"min=0,max=256"`
	Plain   int       `json:"plain" validate:"min=0,max=256"`
}

// ModelSettings is one entry of the catalog.
type ModelSettings struct {
	ID port.ModelID `json:"id" validate:"required,max=256"`
	// Base is set for adapters.
	Base  port.ModelID `json:"base" validate:"max=256"`
	Bytes int64        `json:"bytes" validate:"min=1"`
}

// EngineSettings describes every model engine.
type EngineSettings struct {
	// MemoryBytes is the accelerator memory of a server, OlderBytes what the
	// older system uses of it.
	MemoryBytes int64 `json:"memory_bytes" validate:"min=1"`
	OlderBytes  int64 `json:"older_bytes" validate:"min=0"`
	// TokensPerSecond is the rate of each answer.
	TokensPerSecond float64 `json:"tokens_per_second" validate:"gt=0,max=100000"`
	// Slots bounds the answers in progress, QueueLimit those waiting.
	Slots      int `json:"slots" validate:"min=1,max=10000"`
	QueueLimit int `json:"queue_limit" validate:"min=0,max=100000"`
	// LoadOverhead is the time that a load takes beside reading the weights.
	LoadOverhead jsonc.Duration `json:"load_overhead" validate:"min=0,max=10m"`
	// ChecksFencing says that engines refuse an order with an old number.
	ChecksFencing bool `json:"checks_fencing"`
	// ReportLag is how far reports lag behind.
	ReportLag jsonc.Duration `json:"report_lag" validate:"min=0,max=10m"`
	// CacheCheckpoints makes a server keep the weights that it has read once,
	// so that it doesn't need the weight store for them again.
	CacheCheckpoints bool `json:"cache_checkpoints"`
	// DiskBytesPerSecond is the speed of a load from that cache.
	DiskBytesPerSecond int64 `json:"disk_bytes_per_second" validate:"min=1"`
}

// LogSettings describes the log service.
type LogSettings struct {
	// AppendsPerSecond is the most appends served; more are refused.
	AppendsPerSecond float64 `json:"appends_per_second" validate:"gt=0,max=1000000"`
	// RetainRecords and RetainFor bound what is kept.
	RetainRecords int            `json:"retain_records" validate:"min=1,max=10000000"`
	RetainFor     jsonc.Duration `json:"retain_for" validate:"min=1ms,max=8760h"`
}

// StoreSettings describes the weight store.
type StoreSettings struct {
	// LoadsPerSecond bounds the starts of loads; further ones wait their turn.
	LoadsPerSecond float64 `json:"loads_per_second" validate:"gt=0,max=10000"`
	// AtOnce is how many loads run at full speed; more share the bandwidth.
	AtOnce int `json:"at_once" validate:"min=1,max=10000"`
	// BytesPerSecond is the full speed of one load.
	BytesPerSecond int64 `json:"bytes_per_second" validate:"min=1"`
}

// LiveSettings describes the live list.
type LiveSettings struct {
	// Lag is how far the list lags behind the truth.
	Lag jsonc.Duration `json:"lag" validate:"min=0,max=1h"`
}

const gib = int64(1) << 30

// Defaults returns two zones with two engines and one plain service each, and
// loads of about a second.
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

// Fast returns the defaults with loads and answers of a few milliseconds, no lag
// and rates that nothing reaches.
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
