// Package fleet holds what an entry instance knows of a deployment: the routes
// and services that operators publish, and the backend servers that serve them.
//
// Invariants:
//   - A Manifest is immutable once built; readers share it without locks.
//   - A Directory never goes back: a record older than the one that it holds for
//     the same server is ignored, whatever order records arrive in.
//   - An entry that can't be read names no server; it doesn't affect others.
package fleet
