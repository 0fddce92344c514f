// Package share splits limits that hold over all availability zones into one
// share for each zone. Every instance works the split out from the accepted
// configuration alone, so that a zone cut off from the others keeps to its share
// without asking anybody, and the shares always add up to the limit.
//
// A zone that is gone keeps its share: nobody can tell from inside another zone
// whether it is gone or only cut off. Operators give a share away by publishing
// a configuration without the zone.
package share
