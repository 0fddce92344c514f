package fold

// Kind tells what a record was.
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

// Reason says why a record was not accepted.
type Reason string

// The reasons for not accepting a record.
const (
	// ReasonGap: the record lies beyond the next offset and wasn't folded.
	ReasonGap Reason = "gap"
	// ReasonOld: the record was folded before.
	ReasonOld Reason = "already folded"
	// ReasonMalformed: the payload can't be decoded.
	ReasonMalformed Reason = "malformed"
	// ReasonEpoch: the record names another epoch than the current one.
	ReasonEpoch Reason = "not the current epoch"
	// ReasonNotMember: the claimant isn't a member of the zone.
	ReasonNotMember Reason = "writer is not a member"
	// ReasonDuplicate: a record with the same effect was accepted before.
	ReasonDuplicate Reason = "duplicate"
	// ReasonOccupied: an intent for the model and server is open.
	ReasonOccupied Reason = "an intent for the model and server is open"
	// ReasonNotLoaded: nothing is loaded that could be unloaded.
	ReasonNotLoaded Reason = "not loaded"
	// ReasonNotOpen: the outcome's intent isn't open.
	ReasonNotOpen Reason = "intent is not open"
	// ReasonBase: the publish is based on another version than the accepted one.
	ReasonBase Reason = "based on another version"
	// ReasonInvalid: the published document doesn't pass the validation.
	ReasonInvalid Reason = "document is not valid"
	// ReasonFull: a bound on the number of zones or members is reached.
	ReasonFull Reason = "too many"
	// ReasonIgnored: snapshots don't change a folded state.
	ReasonIgnored Reason = "ignored"
)

// Verdict is what the fold made of one record.
type Verdict struct {
	Kind     Kind
	Accepted bool
	// Reason is set when the record wasn't accepted.
	Reason Reason
}

func accept(k Kind) Verdict           { return Verdict{Kind: k, Accepted: true} }
func reject(k Kind, r Reason) Verdict { return Verdict{Kind: k, Reason: r} }
