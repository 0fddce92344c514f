package port

import "time"

// ModelID names a model or an adapter, as callers write it in a request.
type ModelID string

// ServerID names a backend server.
type ServerID string

// InstanceID names one entry instance. A restarted process takes a new ID.
type InstanceID string

// Zone names an availability zone.
type Zone string

// Offset is a position in the log. The first record has offset 1; zero means
// "before every record".
type Offset int64

// Epoch is the offset of the claim that opened a holder's term in its zone. It
// doubles as the fencing number that orders to backend servers carry.
type Epoch = Offset

// ServiceKind tells model engines from plain services.
type ServiceKind string

// The kinds of service that a backend server can belong to.
const (
	KindEngine ServiceKind = "engine"
	KindPlain  ServiceKind = "plain"
)

// Server is one backend server as the live list and peers describe it.
type Server struct {
	ID      ServerID    `json:"id"`
	Zone    Zone        `json:"zone"`
	Service string      `json:"service"`
	Kind    ServiceKind `json:"kind"`
	// Address is host:port of the server's HTTP listener.
	Address string `json:"address"`
	// Leaving is set from the first sign that the server is being drained. It
	// never returns to false for the same ID.
	Leaving bool `json:"leaving"`
}

// Instance is one entry instance as the live list and peers describe it.
type Instance struct {
	ID   InstanceID `json:"id"`
	Zone Zone       `json:"zone"`
	// PeerAddress is host:port of the listener for other instances.
	PeerAddress string `json:"peer_address"`
	Leaving     bool   `json:"leaving"`
}

// ReplicaState is the state of a model on one backend server.
type ReplicaState string

// The states that an engine reports for a replica.
const (
	ReplicaLoading   ReplicaState = "loading"
	ReplicaReady     ReplicaState = "ready"
	ReplicaUnloading ReplicaState = "unloading"
)

// Replica is one model on one backend server, as the engine reports it.
type Replica struct {
	Model ModelID      `json:"model"`
	State ReplicaState `json:"state"`
	// Bytes is accelerator memory taken, weights and working space together.
	Bytes int64 `json:"bytes"`
	// OrderID is the order that brought the replica about.
	OrderID string `json:"order_id"`
}

// Report is what a backend server says of itself. Reports lag: a report may
// describe a moment before orders that were acknowledged since.
type Report struct {
	Server ServerID `json:"server"`
	// Incarnation changes whenever the engine restarts and forgets its loads.
	Incarnation string `json:"incarnation"`
	// Sequence grows by at least one from report to report of an incarnation.
	Sequence uint64 `json:"sequence"`
	// Fence is the highest fencing number the server has seen; zero if it
	// doesn't check them.
	Fence Epoch `json:"fence"`
	// MemoryBytes is the accelerator memory of the server, and OlderBytes what
	// the older system uses of it now.
	MemoryBytes int64     `json:"memory_bytes"`
	OlderBytes  int64     `json:"older_bytes"`
	Replicas    []Replica `json:"replicas"`
	// CachedOnDisk and CachedInMemory list checkpoints that load faster than
	// from the weight store.
	CachedOnDisk   []ModelID `json:"cached_on_disk,omitempty"`
	CachedInMemory []ModelID `json:"cached_in_memory,omitempty"`
	// InFlight and Queued count requests running and waiting on the server,
	// the older system's included.
	InFlight int  `json:"in_flight"`
	Queued   int  `json:"queued"`
	Leaving  bool `json:"leaving"`
	// CacheEvents are the newest events of the engine's prefix cache, oldest
	// first. They come late, and older ones are missing.
	CacheEvents []CacheEvent `json:"cache_events,omitempty"`
}

// CacheEvent is one change of an engine's prefix cache.
type CacheEvent struct {
	// Sequence grows by one from event to event of an incarnation.
	Sequence uint64 `json:"sequence"`
	// Prefix is the hash that came with the request, see HeaderPrefixHash.
	Prefix uint64 `json:"prefix"`
	// Stored is false if the prefix was evicted.
	Stored bool `json:"stored"`
	// AgeMS is how long ago it happened when the report was made, in
	// milliseconds.
	AgeMS int64 `json:"age_ms"`
}

// HeaderPrefixHash names the hash of the prompt's beginning towards an engine,
// in hexadecimal.
const HeaderPrefixHash = "X-Prefix-Hash"

// ModelInfo describes one entry of the weight store.
type ModelInfo struct {
	ID ModelID `json:"id"`
	// Base is the model that an adapter is applied to; empty for a base model.
	Base ModelID `json:"base,omitempty"`
	// Bytes is the accelerator memory that the model takes once loaded, which
	// is also the size read from the store.
	Bytes int64 `json:"bytes"`
	// Service is the service whose backend servers can hold the model.
	Service string `json:"service"`
}

// OrderKind tells what a backend server is asked to do.
type OrderKind string

// The kinds of order.
const (
	OrderLoad   OrderKind = "load"
	OrderUnload OrderKind = "unload"
)

// Order asks a backend server to load or unload a model. An order is idempotent
// by its ID: applying it again has no further effect.
type Order struct {
	ID    string
	Kind  OrderKind
	Model ModelID
	// Base is set for adapters.
	Base  ModelID
	Bytes int64
	// Fence is the epoch of the holder that decided the order.
	Fence Epoch
	// Incarnation, if set, makes a server that has restarted since refuse.
	Incarnation string
}

// Record is one entry of the log.
type Record struct {
	Offset  Offset
	Payload []byte
}

// Page is the answer to one read of the log.
type Page struct {
	// Oldest is the offset of the oldest record still kept, End the offset that
	// the next append will get.
	Oldest, End Offset
	Records     []Record
}

// LiveSet is one answer of the live list. The list lags behind the truth.
type LiveSet struct {
	Instances []Instance `json:"instances"`
	Servers   []Server   `json:"servers"`
	// At is when the platform compiled the list.
	At time.Time `json:"at"`
}
