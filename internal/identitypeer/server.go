package identitypeer

import (
	"context"

	"github.com/cyclamenhoist/cyclamenhoist/internal/peer/peerpb"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/identity"
)

// Server handles the identity calls of other instances.
type Server struct {
	Store   *identity.Store
	Tracker *Tracker
}

// ClaimIdentity implements peerpb.DRPCPeerServer.
func (s *Server) ClaimIdentity(_ context.Context, m *peerpb.IdentityRequest) (*peerpb.IdentityReply, error) {
	claim, err := decodeClaim(m)
	if err != nil {
		return nil, err
	}
	return encodeAnswer(s.Store.Claim(claim)), nil
}

// FinishIdentity implements peerpb.DRPCPeerServer.
func (s *Server) FinishIdentity(_ context.Context, m *peerpb.IdentityResult) (*peerpb.Empty, error) {
	key, err := decodeKey(m.GetKey())
	if err != nil {
		return nil, err
	}
	s.Store.Finish(key, m.GetAttempt(), decodeResult(m))
	return &peerpb.Empty{}, nil
}

// HandOverIdentities implements peerpb.DRPCPeerServer.
func (s *Server) HandOverIdentities(
	_ context.Context, m *peerpb.IdentityHandOver,
) (*peerpb.IdentityHandOverReply, error) {
	for i, message := range m.GetKept() {
		k, err := decodeRetained(message)
		if err != nil {
			return nil, err
		}
		if !s.Store.Import(k) {
			return &peerpb.IdentityHandOverReply{Taken: int32(i)}, nil
		}
	}
	return &peerpb.IdentityHandOverReply{Taken: int32(len(m.GetKept()))}, nil
}

// FetchMembers implements peerpb.DRPCPeerServer.
func (s *Server) FetchMembers(_ context.Context, m *peerpb.FetchMembersRequest) (*peerpb.FetchMembersReply, error) {
	if int64(s.Tracker.Version()) < m.GetVersion() {
		// The list that is current here can be a former list that the client
		// doesn't have.
		return &peerpb.FetchMembersReply{}, nil
	}
	snapshot, complete := s.Tracker.Export()
	reply := &peerpb.FetchMembersReply{Complete: complete}
	for i, members := range snapshot.Former {
		reply.Former = append(reply.Former, &peerpb.FormerMembers{
			Members: encodeMembers(members),
			AgeMs:   snapshot.Ages[i].Milliseconds(),
		})
	}
	for _, id := range snapshot.HandedOver {
		reply.HandedOver = append(reply.HandedOver, string(id))
	}
	return reply, nil
}
