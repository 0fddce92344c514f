// Package fleet holds an entry instance's view of a deployment: the routes and services that
// operators publish, and the backend servers of these services.
//
// Invariants:
//   - A Manifest is immutable once built; readers share it without locks.
//   - A Directory never goes back: a record older than the current one for the
//     same server is ignored, in whatever order records arrive. Records of different
//     histories of the store are ordered by their eras, not by their offsets.
//   - An entry that can't be decoded lists no server and doesn't affect other
//     entries.
package fleet
