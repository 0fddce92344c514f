// Package identity makes sure that a request which isn't repeatable runs at most
// once, however often and wherever it arrives.
//
// Each identity has up to three owners among the eligible instances of all
// zones, chosen by rendezvous hash, in different zones where there are as many.
// A request runs only after a majority of the owners have granted its identity
// to it; any two majorities share an owner, and an owner grants an identity
// once. Since instances may disagree about who is eligible, a claim needs the
// majority in every list of members that another instance may still go by: the
// current one and those superseded not long ago (see History).
//
// A Table is what one owner keeps, a Round the decisions of one claim, and a
// History the lists of members; all are pure. A Store is a table for concurrent
// use, and a Claimer runs rounds over a transport.
package identity
