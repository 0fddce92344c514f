// Package standin implements stand-ins of the platform services for tests, the
// demonstration and manual experiments: a log service, a weight store, a live
// list, model engines and plain services. Each has its own TCP listener, and
// faults can be injected while they run.
//
// The stand-ins provide the guarantees of the real services and no stronger ones.
// The answer of an engine is a pure function of the request (see Answer), so a
// caller can compare answers byte for byte. The engines themselves count loads,
// replicas and memory use (see Counters), so tests don't depend on the accounting
// of the system under test.
package standin
