// Package placement decides where a model is loaded, what is unloaded for it,
// and which loads go first at the weight store. It is pure: the moment, the
// request and a view of the zone go in, a plan or a refusal comes out, each with
// a reason that an operator can read.
//
// # Use
//
// The deciding instance of a zone calls Place when callers wait for a model
// that isn't ready:
//
//   - ActionWait: nothing is to be decided now. Call Place again when a load or
//     an unload of the zone closes, or the plan's ReadyIn has passed.
//   - ActionEvict: record the unloads in Evict, and call Place again when one
//     of them closes.
//   - ActionLoad: if Store is set, enter the load at the StoreQueue, and record
//     the loads once Next returns it; else record them at once. Place is called
//     again just before, since the view may have changed (late binding). A base
//     model comes before its adapter and must be ready before the adapter's
//     order is sent.
//
// A Refusal may come with a plan: the callers who wait now can't be served in
// time, but the model is worth loading for when they come back, as the refusal's
// RetryAfter tells them.
//
// # Estimates
//
// Time to ready is the wait at the weight store, the time to unload what is in
// the way, and size by measured speed of the tier that holds the checkpoint.
// Speeds are averages that decay, per zone and tier, corrected per server.
// Candidates are compared by the seconds that callers are expected to wait: now,
// and later for the models that are unloaded.
package placement
