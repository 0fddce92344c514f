// Package record builds, encodes and validates the records that instances append
// to the platform's log.
//
// Decoding is strict and deterministic: every reader of a payload gets either
// the same record or the same error, so all instances agree on which records are
// valid.
package record
