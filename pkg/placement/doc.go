// Package placement decides on which server a model is loaded, which models are unloaded for
// it, and which loads go first at the weight store. It is pure: its inputs are the current
// time, a request and a view of the zone, and its output is a plan or a refusal, each with a
// reason for operators.
//
// # Use
//
// The deciding instance of a zone calls Place when callers wait for a model that isn't ready:
//
//   - ActionWait: nothing needs to be decided now. Call Place again when a load or an
//     unload of the zone has ended, or after the plan's ReadyIn.
//   - ActionEvict: record the unloads in Evict, and call Place again when one of them
//     has ended.
//   - ActionLoad: if Store is set, add the load to the StoreQueue and record the
//     loads once Next returns it; otherwise record them immediately. Call Place again
//     just before recording, because the view may have changed (late binding). A base
//     model is loaded before its adapter and must be ready before the order for the
//     adapter is sent.
//
// A Refusal can come with a plan: the current callers can't be served before their deadline,
// but loading the model serves them when they retry after the refusal's RetryAfter.
//
// # Estimates
//
// The estimated time until a model is ready is the sum of the wait at the weight store, the
// time of the unloads that must precede the load, and the size divided by the measured speed
// of the tier that holds the checkpoint. Speeds are exponentially weighted averages per zone
// and tier, with a correction factor per server. Candidates are compared by the expected
// waiting time of callers in seconds: that of the current callers, and that of future callers
// of the models that are unloaded.
package placement
