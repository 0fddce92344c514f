// Package manifestcheck finds what is wrong with a manifest before it is published: entries that
// can never match, limits that contradict each other, accounts that instances reject; and lists
// what differs from the manifest in effect.
//
// It knows neither the format of a manifest nor the names in it: a Path says in which field a
// finding is, and whoever decoded the document names the fields. It never sees the keys of accounts,
// only their digests.
package manifestcheck

import (
	"time"

	"github.com/cyclamenhoist/cyclamenhoist/pkg/account"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/fleet"
)

// Document is a manifest as it was written. Other than in a fleet.Manifest, entries are in their
// order and none is left out, and numbers may be negative or beyond what instances use.
type Document struct {
	Version  int64
	Routes   []Route
	Services []Service
	Limits   Limits
	// Accounts is nil if requests need no key.
	Accounts []Account
	// NullAccounts means that the list of accounts is written, but null, so that requests need no key.
	NullAccounts bool
	// Incomplete means that parts of the document couldn't be decoded and are left empty.
	Incomplete bool
	// MaxDuration is the longest duration that instances use.
	MaxDuration time.Duration
}

// Route is a route as it was written.
type Route struct {
	// Route has the kind 0 if the written one is unknown. Its shares are those of the traffic split.
	fleet.Route
	// WrittenKind is the kind in the document.
	WrittenKind string
	// Service is the service beside the traffic split; instances ignore it if there is a split.
	Service string
}

// Service is a service as it was written.
type Service struct {
	Name string
	// Engine is nil for a service that runs no models. Its map of models is empty.
	Engine *fleet.Engine
	Models []fleet.Model
}

// Limits are the limits of the requests of clients, each with whether the document states it.
type Limits struct {
	fleet.CallerLimits
	StatesMaxHeaderBytes, StatesMaxBodyBytes, StatesHeaderTimeout, StatesIdleTimeout bool
}

// Account is a client account as it was written.
type Account struct {
	account.Account
	Keys []Key
}

// Key is an API key of which only the digest is kept.
type Key struct {
	Digest account.Digest
	// Length is in bytes.
	Length int
	// Sendable means that a client can send the key as the value of a header.
	Sendable bool
}

// Field is a field of a manifest.
type Field uint8

// The fields of a manifest that findings refer to.
const (
	FieldVersion Field = iota
	FieldRoutes
	FieldServices
	FieldLimits
	FieldAccounts
	FieldName
	FieldHost
	FieldPathPrefix
	FieldKind
	FieldTimeout
	FieldTargetLatency
	FieldGapTarget
	FieldPriority
	FieldMaxAttempts
	FieldService
	FieldShares
	FieldShareWeight
	FieldEngine
	FieldSlots
	FieldModels
	FieldWeights
	FieldAdapterSlots
	FieldLoadsPerSecond
	FieldStoreLoad
	FieldDiskLoad
	FieldHostLoad
	FieldAdapters
	FieldAdapterWeights
	FieldMaxHeaderBytes
	FieldMaxBodyBytes
	FieldHeaderTimeout
	FieldIdleTimeout
	FieldKeys
	FieldDefaultCost
	FieldRate
	FieldBurst
	// NumFields is the number of fields.
	NumFields
)

// Step is one step of a Path: a field, and the index of an element if the field is a list.
type Step struct {
	Field Field
	// Index is negative if the step leads to the field itself.
	Index int
}

// Path leads from the document to a field.
type Path []Step

// Severity says what a finding means for instances.
type Severity uint8

// The severities.
const (
	// Warning means that instances use the manifest, but that a part of it has no effect, or another
	// one than its author probably expects.
	Warning Severity = iota
	// Error means that instances don't use the manifest, or not as it was written.
	Error
)

// Finding is one thing that is wrong with a manifest.
type Finding struct {
	Severity Severity
	Code     Code
	Path     Path
	// Message is one line. It names routes, services, models and accounts, never keys.
	Message string
}

// Code identifies a kind of finding. Codes don't change between releases.
type Code string

// The codes of findings.
const (
	CodeUnknownKind     Code = "unknown_kind"
	CodeUnnamed         Code = "unnamed"
	CodeRepeatedName    Code = "repeated_name"
	CodeEmptyKey        Code = "empty_key"
	CodeSharedKey       Code = "shared_key"
	CodeRepeatedKey     Code = "repeated_key"
	CodeUnusableKey     Code = "unusable_key"
	CodeNoKeys          Code = "no_keys"
	CodeNoAccounts      Code = "no_accounts"
	CodeNegative        Code = "negative"
	CodeZero            Code = "zero"
	CodeTooLong         Code = "too_long"
	CodeNeverMatches    Code = "never_matches"
	CodePrefixSlash     Code = "prefix_slash"
	CodeSameRoute       Code = "same_route"
	CodeZeroShare       Code = "zero_share"
	CodeRepeatedShare   Code = "repeated_share"
	CodeUnknownService  Code = "unknown_service"
	CodeUnusedService   Code = "unused_service"
	CodeIgnoredService  Code = "ignored_service"
	CodeTimeout         Code = "timeout_under_objective"
	CodeGapTarget       Code = "gap_target_above_timeout"
	CodeAttempts        Code = "attempts_not_repeatable"
	CodePriority        Code = "priority_out_of_range"
	CodeModelTooLarge   Code = "model_too_large"
	CodeAdapterSlots    Code = "adapters_without_slots"
	CodeAdapterTooLarge Code = "adapter_too_large"
	CodeBurst           Code = "burst_without_rate"
	CodeDefaultCost     Code = "free_requests"
)
