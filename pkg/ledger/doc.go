// Package ledger keeps account of the accelerator memory of a zone's backend
// servers. It is pure: intents and outcomes of the log and reports of the
// servers go in, free memory and what must be given back come out. It has no
// clock and does no I/O.
//
// Memory counts from the moment that a load is decided until an outcome proves
// it free. So loads that aren't reported yet, unloads whose order was lost, and
// replicas of an engine that restarted all count until the log says otherwise.
// A report only ever adds: a replica that is larger than its intent counts with
// its reported size, and a replica that no intent explains counts as a stray.
//
// What may be used on a server is the smaller of our declared share of its
// memory and what the older system leaves by the last report. When the share is
// cut, or the older system grows, below what is in use, Free is negative and
// WorkDown names what to unload; nothing more is loaded meanwhile.
//
// Reports lag, can be overtaken by newer ones, and can come from before a
// restart. Sequence orders the reports of one incarnation. Incarnations have no
// order, so that only a report read directly from the server, after the calls
// before it have ended, may bring a new one.
package ledger
