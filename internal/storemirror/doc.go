// Package storemirror keeps an instance's copy of what the platform's store holds for all
// instances: the server list, and the version of the newest manifest.
//
// Each read of the store has a price, and hundreds of instances would read the same records. The
// instance that holds the lease reads them for all, and tells the others with the placement,
// which they follow anyway. An instance reads itself as soon as it hasn't been told for so long
// that a server could have been listed as draining and not be known to leave in time.
//
// Invariants:
//   - How current the copy is counts from when the teller read the store, by the instance's own
//     clock: a message that was delayed on its way, or whose sender was paused, makes it older.
//   - Entries are ordered by the era of the store's history and by their offsets in it, whoever tells
//     them.
//   - What is told makes the copy as fresh as the teller's only if both hold the same servers then, by a
//     digest. Otherwise, and if the teller knows less, the instance reads the list itself.
//   - What an instance lacks is known from the edition of the teller's bulletin that it was told last,
//     never from an offset: two tellers differ in what they have found by a given one.
//   - A manifest is always read from the store. What is told is only that there is a newer one.
package storemirror
