// Package keepalive decides how long a model without work stays loaded, and
// which model is loaded before it is asked for. It is pure: arrivals and moments
// go in, verdicts with their reasons come out.
//
// Each model has a short history of its own: a histogram of the gaps between its
// arrivals, in which newer gaps count for more, and for each half hour of the
// day the share of days on which it was asked for. From these follows the chance
// of an arrival by any later moment, given how long the model has been idle.
//
// A cold start costs its time once for each caller that waits for it; an idle
// model costs the part of an accelerator that it takes, as long as it does. The
// operator's cold_start_weight exchanges the one for the other. A model is kept
// while some moment exists until which to keep it is worth more than it costs,
// and loaded ahead when an arrival is near enough to be worth the idle time. A
// model with less than three known gaps is kept for DefaultKeep.
//
// The bar for loading ahead is higher than that for keeping, and a model that
// has just become ready stays for MinResident, so that none goes back and forth.
// Above the idle budget, the models worth least per accelerator go first.
package keepalive
