// Package fold computes the shared state of all instances from a prefix of the
// log. The fold is pure: two readers of the same prefix have the same state,
// without a clock and without asking each other.
//
// # Rules
//
// A record that can't be decoded is void for every reader. Records at or below
// the folded offset are ignored; a record beyond the next offset is a gap and
// isn't folded.
//
// Claim: valid if its writer is a member of the zone and it names the zone's
// current epoch as superseded. Its offset is the new epoch. The members at that
// offset are the epoch's copy holders until the next claim, whoever joins or
// leaves in between, so that every reader of the claim knows the same set. The
// copies that it carries become open intents. An unload among them proves that
// the load it undoes was loaded, as holders only decide such unloads. A claimant
// that could stop none of the superseded epoch's copy holders names the epoch as
// doubtful; the doubt stays until a later claim no longer names it.
//
// Intent: valid if its epoch is the zone's current one and its id is neither
// open nor recently closed. A load is void if an intent for the same model and
// server is open; an unload is void unless a loaded replica is there and no
// other unload is open. An open load counts as a replica and as reserved memory
// from its offset on.
//
// Outcome: valid if its epoch is the zone's current one and its intent is open.
// Older epochs' outcomes are void, since a late FREED of an old holder may
// describe an order that its successor has since sent again. LOADED marks a
// load as loaded, and takes back an unload. FREED and LOST close a load; of an
// unload they close the unload and the loaded loads of its model and server.
//
// Release: valid for the current epoch; the next claim clears it.
//
// Targets: valid if based on the accepted version and the document passes the
// validation. Its offset is the accepted version, so a version never falls. A
// record id that was accepted lately is recognised and not applied twice.
//
// # Start and truncation
//
// Snapshots don't change the state of a reader of the full prefix. A reader
// without one starts from the newest snapshot that joins the retained records
// (Scan.Newest), or from a peer's encoded state. If no reader has the full
// prefix and no snapshot joins on, the first snapshot in the log is the base
// for all of them (Scan.Rebase): they fold on from the snapshot's own offset,
// keep its open intents, and keep the higher of its and their own accepted
// configuration. A log whose end lies before the folded offset has lost
// records; see ErrRegressed.
package fold
