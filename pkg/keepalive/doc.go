// Package keepalive decides how long an idle model stays loaded, and which
// models are preloaded before their next request. It is deterministic: arrivals
// and times are its input, decisions and their reasons are its output.
//
// Each model has a short history. It consists of a histogram of the gaps between
// arrivals, in which newer gaps have more weight, and of the share of days with
// a request for each half hour of the day. From these follows the probability of
// an arrival by any later time, given how long the model has been idle.
//
// The cost of a cold start is its duration, counted once for each caller that
// waits for it. The cost of an idle model is the part of an accelerator that it
// uses, for as long as it does. The operator's cold_start_weight is the exchange
// rate between the two. A model is kept while there is a time until which the
// expected saving of keeping it exceeds the cost, and preloaded when an arrival
// is near enough to justify the idle time. A model with fewer than three known
// gaps is kept for a time in proportion to DefaultKeep.
//
// The threshold for preloading is higher than that for keeping, and a model that
// has just become ready stays for MinResident, so that no model is repeatedly
// loaded and unloaded. Above the idle budget, the models with the smallest gain
// per accelerator are released first.
package keepalive
