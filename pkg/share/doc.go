// Package share splits limits that hold over all availability zones into one
// share for each zone. Every instance works the split out from the accepted
// configuration alone, so that a zone cut off from the others keeps to its share
// without asking anybody, and the shares of one version add up to its limit.
//
// While a new version spreads, zones have different versions in force. Window
// keeps the sum within the limit then: a smaller share is taken at once, a
// larger one only after every other zone of the new version has confirmed that
// it has it in force. Let w be the lowest version in force in any zone. Each
// zone uses the least of its shares over a range of versions that contains w,
// hence at most its share of w, and those add up to the limit of w.
//
// A zone that is gone keeps its share: nobody can tell from inside another zone
// whether it is gone or only cut off. Operators say that a zone is gone by
// publishing a configuration without it; its confirmation isn't awaited then. An
// instance that starts knows no versions before its first and takes its share of
// that one.
package share
