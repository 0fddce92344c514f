// Package record builds, encodes and checks the records that instances keep on
// the platform's log.
//
// Decoding is strict and deterministic: every reader of a payload either gets
// the same record or the same error, so that all instances agree on which
// records count.
package record
