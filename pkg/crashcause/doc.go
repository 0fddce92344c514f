// Package crashcause finds the part of requests' prompts that crashes backend servers, so that
// requests with that part can be refused before they crash more of them.
//
// Each instance records which requests a crashed server was about to answer, and tells the
// others. A part is blocked if several servers have crashed under different requests with it
// since one was last answered, while so many others have been, over all instances, that a sound
// part would be among them.
//
// A Finder decides without I/O; a Watcher runs it and exchanges evidence over a Transport.
//
// Invariants:
//   - The last part of a prompt, which belongs to one request alone, is never blocked.
//   - A part with which a request has been answered since the last crash under it is not blocked.
//   - Of several parts that explain the same crashes, only the most specific one is blocked.
package crashcause
