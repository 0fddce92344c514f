package identitypeer

import (
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"github.com/cyclamenhoist/cyclamenhoist/internal/peer/peerpb"
)

// FuzzAsk: whatever bytes a peer sends, a request that is taken means the same
// after it was sent on.
func FuzzAsk(f *testing.F) {
	seed, err := proto.Marshal(&peerpb.IdentityRequest{Key: make([]byte, 16), Fingerprint: make([]byte, 16), Attempt: "a"})
	require.NoError(f, err)
	f.Add(seed)
	f.Fuzz(func(t *testing.T, data []byte) {
		var message peerpb.IdentityRequest
		if proto.Unmarshal(data, &message) != nil {
			return
		}
		ask, err := toAsk(&message)
		if err != nil {
			return
		}
		again, err := toAsk(fromAsk(ask))
		require.NoError(t, err)
		require.Equal(t, ask, again)
	})
}

// FuzzKept is the same for a handed-over identity.
func FuzzKept(f *testing.F) {
	seed, err := proto.Marshal(&peerpb.KeptIdentity{})
	require.NoError(f, err)
	f.Add(seed)
	f.Fuzz(func(t *testing.T, data []byte) {
		var message peerpb.KeptIdentity
		if proto.Unmarshal(data, &message) != nil {
			return
		}
		kept, err := toKept(&message)
		if err != nil {
			return
		}
		again, err := toKept(fromKept(kept))
		require.NoError(t, err)
		require.Equal(t, kept.Key, again.Key)
		require.Equal(t, kept.Attempt, again.Attempt)
		require.Equal(t, kept.Result.Known, again.Result.Known)
	})
}
