// Package placer keeps models loaded on the servers where requests need them. One instance of
// a deployment holds the lease (pkg/leaderlease). The holder collects the demand of all
// instances, plans (pkg/modelplan) and sends orders to servers. The other instances report
// their demand to the holder and receive from it which models the servers hold.
//
// Invariants:
//   - Only the holder of the lease sends orders. Each order carries the epoch of the
//     lease and the sequence of the server's state that it is based on. An order that
//     is delayed, duplicated or sent by a former holder doesn't match the sequence and
//     has no effect.
//   - A server with an order in progress, or with one whose result is unknown, gets no
//     other order until a report shows the result.
package placer
