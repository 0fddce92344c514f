package port

import "time"

// ModelID identifies a model or an adapter, by the name that callers use in
// requests.
type ModelID string

// ServerID identifies a backend server.
type ServerID string

// InstanceID identifies one entry instance. A restarted process uses a new ID.
type InstanceID string

// Zone is the name of an availability zone.
type Zone string

// Offset is a position in the log. The first record has offset 1. Zero is before
// every record.
type Offset int64

// Epoch is the log offset of the claim that started a holder's lease in its zone.
// It is also the fencing token of the orders that the holder sends to backend
// servers.
type Epoch = Offset

// ServiceKind distinguishes model engines from plain services.
type ServiceKind string

// The kinds of service that a backend server can belong to.
const (
	KindEngine ServiceKind = "engine"
	KindPlain  ServiceKind = "plain"
)

// Server describes one backend server.
type Server struct {
	ID      ServerID    `json:"id"`
	Zone    Zone        `json:"zone"`
	Service string      `json:"service"`
	Kind    ServiceKind `json:"kind"`
	// Address is the host:port of the server's HTTP listener.
	Address string `json:"address"`
	// Leaving is set once the server is being drained. It never becomes false
	// again for the same ID.
	Leaving bool `json:"leaving"`
}

// Instance describes one entry instance.
type Instance struct {
	ID   InstanceID `json:"id"`
	Zone Zone       `json:"zone"`
	// PeerAddress is the host:port of the listener for other instances.
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

// Replica is one model on one backend server as the engine reports it.
type Replica struct {
	Model ModelID      `json:"model"`
	State ReplicaState `json:"state"`
	// Bytes is the used accelerator memory, including weights and working space.
	Bytes int64 `json:"bytes"`
	// OrderID is the ID of the order that loaded the replica.
	OrderID string `json:"order_id"`
}

// Report is the state of a backend server as reported by the server. A report can
// be out of date and not yet include the effect of acknowledged orders.
type Report struct {
	Server ServerID `json:"server"`
	// Incarnation identifies one process of the engine. It changes with every
	// restart, at which the engine loses its replicas.
	Incarnation string `json:"incarnation"`
	// Sequence increases with every report of an incarnation.
	Sequence uint64 `json:"sequence"`
	// Fence is the highest fencing token that the server has seen; zero if it
	// doesn't check fencing tokens.
	Fence Epoch `json:"fence"`
	// MemoryBytes is the total accelerator memory of the server, and OlderBytes
	// the part of it that the older system uses now.
	MemoryBytes int64     `json:"memory_bytes"`
	OlderBytes  int64     `json:"older_bytes"`
	Replicas    []Replica `json:"replicas"`
	// CachedOnDisk and CachedInMemory list the models whose checkpoints the
	// server has cached. They load faster than from the weight store.
	CachedOnDisk   []ModelID `json:"cached_on_disk,omitempty"`
	CachedInMemory []ModelID `json:"cached_in_memory,omitempty"`
	// InFlight and Queued are the numbers of running and queued requests on the
	// server, including those of the older system.
	InFlight int  `json:"in_flight"`
	Queued   int  `json:"queued"`
	Leaving  bool `json:"leaving"`
	// CacheEvents are the newest events of the engine's prefix cache, oldest
	// first. They are delayed, and older events are omitted.
	CacheEvents []CacheEvent `json:"cache_events,omitempty"`
}

// CacheEvent is one change of an engine's prefix cache.
type CacheEvent struct {
	// Sequence increases by one with every event of an incarnation.
	Sequence uint64 `json:"sequence"`
	// Prefix is the prefix hash of the request, see HeaderPrefixHash.
	Prefix uint64 `json:"prefix"`
	// Stored is true if the prefix was stored, and false if it was evicted.
	Stored bool `json:"stored"`
	// AgeMS is the age of the event when the report was created, in
	// milliseconds.
	AgeMS int64 `json:"age_ms"`
}

// HeaderPrefixHash is the request header that carries the hash of the prompt
// prefix to an engine, in hexadecimal.
const HeaderPrefixHash = "X-Prefix-Hash"

// ModelInfo describes one entry of the weight store.
type ModelInfo struct {
	ID ModelID `json:"id"`
	// Base is the model to which an adapter is applied; empty for a base model.
	Base ModelID `json:"base,omitempty"`
	// Bytes is the accelerator memory that the loaded model uses. The same
	// number of bytes is read from the weight store.
	Bytes int64 `json:"bytes"`
	// Service is the service whose backend servers can load the model.
	Service string `json:"service"`
}

// OrderKind is the kind of an order to a backend server.
type OrderKind string

// The kinds of order.
const (
	OrderLoad   OrderKind = "load"
	OrderUnload OrderKind = "unload"
)

// Order is a request to a backend server to load or unload a model. An order is
// idempotent by its ID: applying it again has no further effect.
type Order struct {
	ID    string
	Kind  OrderKind
	Model ModelID
	// Base is the base model of an adapter; empty otherwise.
	Base  ModelID
	Bytes int64
	// Fence is the epoch of the holder that created the order. It is the fencing
	// token of the order.
	Fence Epoch
	// Incarnation, if set, is the incarnation for which the order is valid. A
	// server that has restarted since then refuses it.
	Incarnation string
}

// Record is one entry of the log.
type Record struct {
	Offset  Offset
	Payload []byte
}

// Page is the result of one read of the log.
type Page struct {
	// Oldest is the offset of the oldest retained record. End is the offset that
	// the next appended record will get.
	Oldest, End Offset
	Records     []Record
}

// LiveSet is one answer of the live list. It lags behind the actual state.
type LiveSet struct {
	Instances []Instance `json:"instances"`
	Servers   []Server   `json:"servers"`
	// At is when the platform compiled the list.
	At time.Time `json:"at"`
}
