// Package placer keeps models where requests want them. One instance of a
// deployment holds the tenure (pkg/tenure): it gathers what all instances want,
// plans (pkg/modelplan), and orders servers. The others report their demand to it
// and learn from it what servers hold.
//
// Invariants:
//   - Only the holder of the tenure sends orders, and each names its epoch and the
//     server's sequence that it was decided on. An order that arrives late, twice
//     or from a former holder finds another sequence and does nothing.
//   - A server with an order in progress, or with one whose result isn't known,
//     gets no other until a report tells.
package placer
