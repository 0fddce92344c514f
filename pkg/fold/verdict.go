package fold

// Kind is the kind of a record.
type Kind uint8

// The kinds of record.
const (
	KindUnknown Kind = iota
	KindClaim
	KindIntent
	KindOutcome
	KindMember
	KindRelease
	KindTargets
	KindSnapshot
)

// Reason is why a record was rejected.
type Reason string

// The reasons for rejecting a record.
const (
	// ReasonGap: the record lies beyond the next offset and wasn't folded.
	ReasonGap Reason = "gap"
	// ReasonOld: the record has already been folded.
	ReasonOld Reason = "already folded"
	// ReasonMalformed: the payload can't be decoded.
	ReasonMalformed Reason = "malformed"
	// ReasonEpoch: the record names an epoch other than the current one.
	ReasonEpoch Reason = "not the current epoch"
	// ReasonNotMember: the claimant isn't a member of the zone.
	ReasonNotMember Reason = "writer is not a member"
	// ReasonDuplicate: a record with the same effect was accepted before.
	ReasonDuplicate Reason = "duplicate"
	// ReasonOccupied: an intent for the model and server is open.
	ReasonOccupied Reason = "an intent for the model and server is open"
	// ReasonNotLoaded: the model to unload isn't loaded on the server.
	ReasonNotLoaded Reason = "not loaded"
	// ReasonNotOpen: the outcome's intent isn't open.
	ReasonNotOpen Reason = "intent is not open"
	// ReasonBase: the publish is based on a version other than the accepted one.
	ReasonBase Reason = "based on another version"
	// ReasonInvalid: the published document doesn't pass the validation.
	ReasonInvalid Reason = "document is not valid"
	// ReasonFull: the maximum number of zones or members is reached.
	ReasonFull Reason = "too many"
	// ReasonIgnored: a snapshot doesn't change a folded state.
	ReasonIgnored Reason = "ignored"
)

// Verdict is the result of folding one record.
type Verdict struct {
	Kind     Kind
	Accepted bool
	// Reason is set if the record was rejected.
	Reason Reason
}

func accept(k Kind) Verdict           { return Verdict{Kind: k, Accepted: true} }
func reject(k Kind, r Reason) Verdict { return Verdict{Kind: k, Reason: r} }
