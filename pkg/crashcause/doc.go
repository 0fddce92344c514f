// Package crashcause finds what the requests that crash backend servers have in common, so that
// such requests can be refused before they crash more of them. A trait is a part of a request's
// prompt, or the content of the whole request, which its repeats share.
//
// Each instance records which requests a crashed server was about to answer, and tells the
// others. A trait is blocked if several servers have crashed under requests with it since one was
// last answered, while so many others of the service have been, over all instances, that a sound
// one would be among them.
//
// A Finder decides without I/O; a Watcher runs it and exchanges evidence over a Transport.
//
// Invariants:
//   - The last part of a prompt, which belongs to one request alone, is never blocked.
//   - A trait with which a request has been answered since the last crash under it is not blocked.
//   - A crash counts only as long as the answers to its traits since are known.
//   - Of several parts that explain the same crashes, only the most specific one is blocked.
//   - A part is not blocked for crashes that a single request explains, nor a request for crashes
//     that another one explains.
package crashcause
