// Package ledger accounts for the accelerator memory of a zone's backend
// servers. It is deterministic: intents and outcomes of the log and reports of
// the servers are its input, free memory and the replicas to unload are its
// output. It has no clock and does no I/O.
//
// Memory counts as used from the moment that a load is decided until an outcome
// proves that it is free. Loads that aren't reported yet, unloads whose order
// was lost, and replicas of an engine that restarted therefore all count until
// the log contains their outcome. A report can only increase the used memory: a
// replica that is larger than its intent counts with its reported size, and a
// replica that no intent explains counts as a stray.
//
// The limit on a server is the smaller of our configured share of its memory
// and the memory that the older system leaves according to the last report.
// When the share is reduced, or the older system grows, so that more than the
// limit is in use, Free is negative and ExcessReplicas returns the replicas to
// unload. Nothing more is loaded meanwhile.
//
// Reports can be delayed, arrive out of order, and stem from before a restart.
// Sequence orders the reports of one incarnation. Incarnations have no order, so
// a new incarnation is accepted only from a report that was read directly from
// the server after all earlier direct reads had ended.
package ledger
