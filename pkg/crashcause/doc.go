// Package crashcause finds the part of requests' prompts that crashes backend servers, so that
// requests with that part can be refused before they crash more of them.
//
// Each instance records which requests a crashed server was about to answer, and exchanges
// these records with the others. A part is blocked if several servers have crashed under
// different requests with it, none of which has been answered since the first of these
// crashes, while others have been.
//
// Invariants:
//   - The last part of a prompt, which belongs to one request alone, is never blocked.
//   - A part whose requests are answered is not blocked.
//   - Of several parts that explain the same crashes, only the most specific one is blocked.
package crashcause
