// Package relay connects an instance that has lost its network path to the backend servers with
// them, through other instances that still reach them.
//
// A Dialer opens connections directly while it can. When connections to several servers fail, it
// checks whether any server is reachable; if none is, it asks the other instances, and opens
// connections through those that reach servers, preferring the own availability zone. Meanwhile
// it keeps trying the direct path, to which it returns as soon as a server accepts a connection.
//
// Invariants:
//   - A Server connects only to servers that it knows, and never through another instance.
//   - A Server knows what the answers that it passes on say of their servers before it passes them
//     on, and passes on no request that the server doesn't accept from this instance, whatever the
//     client of the connection knows or does.
//   - The client of a relayed connection sees its end as the server's end only if the server has
//     closed it; if the relaying instance fails, or the server resets the connection, reading
//     fails.
//   - When the client of a relayed connection closes it, the connection to the server is reset.
package relay
