// Package share splits limits that apply across all availability zones into one share per
// zone. Every instance computes the split from the accepted configuration alone. A zone that
// is partitioned from the others therefore stays within its share without communicating, and
// the shares of one configuration version add up to its limit.
//
// While a new version spreads, different zones can have different versions in force. Window
// keeps the sum of the shares within the limit during that time: a smaller share applies
// immediately, and a larger one only after every other zone of the new version has confirmed
// that the version is in force there. Let w be the lowest version in force in any zone. Each
// zone uses the minimum of its shares over a range of versions that contains w, hence at most
// its share of w, and the shares of w add up to the limit of w.
//
// A zone that has failed retains its share, because other zones can't distinguish a failure
// from a network partition. Operators remove such a zone by publishing a configuration without
// it; its confirmation is then no longer required. An instance that starts has no versions
// before its first one and uses its share of that version.
package share
