package identitypeer

import (
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"github.com/cyclamenhoist/cyclamenhoist/internal/peer/peerpb"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/identity"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/port"
)

// ErrMalformed is returned for a message with a key or a fingerprint of the wrong
// length.
var ErrMalformed = errors.New("malformed identity message")

func decodeKey(b []byte) (identity.Key, error) {
	if len(b) != identity.KeySize {
		return identity.Key{}, ErrMalformed
	}
	return identity.Key(b), nil
}

func decodeFingerprint(b []byte) (identity.Fingerprint, error) {
	if len(b) != identity.KeySize {
		return identity.Fingerprint{}, ErrMalformed
	}
	return identity.Fingerprint(b), nil
}

func encodeClaim(r identity.ClaimRequest) *peerpb.IdentityRequest {
	return &peerpb.IdentityRequest{
		Key:         r.Key[:],
		Fingerprint: r.Fingerprint[:],
		Attempt:     r.Attempt,
		RunForMs:    r.RunFor.Milliseconds(),
	}
}

func decodeClaim(m *peerpb.IdentityRequest) (identity.ClaimRequest, error) {
	key, err := decodeKey(m.GetKey())
	if err != nil {
		return identity.ClaimRequest{}, err
	}
	fingerprint, err := decodeFingerprint(m.GetFingerprint())
	if err != nil {
		return identity.ClaimRequest{}, err
	}
	return identity.ClaimRequest{
		Key:         key,
		Fingerprint: fingerprint,
		Attempt:     m.GetAttempt(),
		RunFor:      milliseconds(m.GetRunForMs()),
	}, nil
}

func milliseconds(ms int64) time.Duration {
	return time.Duration(ms) * time.Millisecond
}

var verdicts = map[identity.Verdict]peerpb.IdentityReply_Verdict{
	identity.Unavailable: peerpb.IdentityReply_VERDICT_UNSPECIFIED,
	identity.Run:         peerpb.IdentityReply_VERDICT_RUN,
	identity.Running:     peerpb.IdentityReply_VERDICT_RUNNING,
	identity.Finished:    peerpb.IdentityReply_VERDICT_FINISHED,
	identity.Unknown:     peerpb.IdentityReply_VERDICT_UNKNOWN,
	identity.Mismatch:    peerpb.IdentityReply_VERDICT_MISMATCH,
	identity.Full:        peerpb.IdentityReply_VERDICT_FULL,
}

func encodeAnswer(a identity.Answer) *peerpb.IdentityReply {
	reply := &peerpb.IdentityReply{Verdict: verdicts[a.Verdict]}
	if a.Verdict == identity.Finished {
		reply.Result = encodeResult(identity.Key{}, "", a.Result)
	}
	return reply
}

func decodeAnswer(m *peerpb.IdentityReply) identity.Answer {
	for verdict, wireVerdict := range verdicts {
		if wireVerdict == m.GetVerdict() {
			return identity.Answer{Verdict: verdict, Result: decodeResult(m.GetResult())}
		}
	}
	return identity.Answer{Verdict: identity.Unavailable}
}

func encodeResult(key identity.Key, attempt string, r identity.Result) *peerpb.IdentityResult {
	m := &peerpb.IdentityResult{
		Key:      key[:],
		Attempt:  attempt,
		Known:    r.Known,
		NotRun:   r.NotRun,
		Status:   int32(r.Status),
		Body:     r.Body,
		BodyGone: r.BodyGone,
	}
	for name, values := range r.Header {
		for _, value := range values {
			m.Headers = append(m.Headers, &peerpb.Header{Name: name, Value: value})
		}
	}
	return m
}

func decodeResult(m *peerpb.IdentityResult) identity.Result {
	r := identity.Result{
		NotRun:   m.GetNotRun(),
		Known:    m.GetKnown(),
		Status:   int(m.GetStatus()),
		Body:     m.GetBody(),
		BodyGone: m.GetBodyGone(),
	}
	for _, h := range m.GetHeaders() {
		if r.Header == nil {
			r.Header = http.Header{}
		}
		r.Header.Add(h.GetName(), h.GetValue())
	}
	return r
}

func encodeRetained(retained identity.RetainedIdentity) *peerpb.KeptIdentity {
	return &peerpb.KeptIdentity{
		Fingerprint: retained.Fingerprint[:],
		Running:     retained.Running,
		Finished:    retained.Finished,
		LapsesInMs:  retained.LapsesIn.Milliseconds(),
		ExpiresInMs: retained.ExpiresIn.Milliseconds(),
		Result:      encodeResult(retained.Key, retained.Attempt, retained.Result),
	}
}

func decodeRetained(m *peerpb.KeptIdentity) (identity.RetainedIdentity, error) {
	key, err := decodeKey(m.GetResult().GetKey())
	if err != nil {
		return identity.RetainedIdentity{}, err
	}
	fingerprint, err := decodeFingerprint(m.GetFingerprint())
	if err != nil {
		return identity.RetainedIdentity{}, err
	}
	return identity.RetainedIdentity{
		Key:         key,
		Fingerprint: fingerprint,
		Attempt:     m.GetResult().GetAttempt(),
		Running:     m.GetRunning(),
		Finished:    m.GetFinished(),
		LapsesIn:    milliseconds(m.GetLapsesInMs()),
		ExpiresIn:   milliseconds(m.GetExpiresInMs()),
		Result:      decodeResult(m.GetResult()),
	}, nil
}

func encodeMembers(members []identity.Member) []*peerpb.IdentityMember {
	list := make([]*peerpb.IdentityMember, len(members))
	for i, m := range members {
		list[i] = &peerpb.IdentityMember{Id: string(m.ID), Zone: string(m.Zone), PeerAddress: m.PeerAddress}
	}
	return list
}

func decodeMembers(list []*peerpb.IdentityMember) []identity.Member {
	members := make([]identity.Member, len(list))
	for i, m := range list {
		members[i] = identity.Member{
			ID:          port.InstanceID(m.GetId()),
			Zone:        port.Zone(m.GetZone()),
			PeerAddress: m.GetPeerAddress(),
		}
	}
	return members
}
