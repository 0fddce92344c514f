package record_test

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"github.com/cyclamenhoist/cyclamenhoist/pkg/port"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/record"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/record/recordpb"
)

func intent() record.Intent {
	return record.Intent{ID: "i", Zone: "a", Epoch: 3, Kind: port.OrderLoad, Model: "m", Server: "s", Bytes: 5}
}

func TestRoundTrip(t *testing.T) {
	r := record.New("a", "x", intent().Proto())
	payload, err := record.Marshal(r)
	require.NoError(t, err)
	got, err := record.Unmarshal(payload)
	require.NoError(t, err)
	require.True(t, proto.Equal(r, got))
	i, err := record.IntentFromProto(got.GetIntent())
	require.NoError(t, err)
	require.Equal(t, intent(), i)
	require.NotEqual(t, r.Id, record.New("a", "x", intent().Proto()).Id)
}

func TestMalformed(t *testing.T) {
	bad := intent()
	bad.Zone = "b"
	long := strings.Repeat("x", record.MaxNameBytes+1)
	many := make([]*recordpb.Intent, record.MaxCopies+1)
	for i := range many {
		many[i] = intent().Proto()
	}
	for name, r := range map[string]*recordpb.Record{
		"nil":            nil,
		"no id":          record.NewWithID("", "a", "x", intent().Proto()),
		"long id":        record.NewWithID(long, "a", "x", intent().Proto()),
		"other zone":     record.NewWithID("r", "a", "x", bad.Proto()),
		"no instance":    record.NewWithID("r", "a", "", intent().Proto()),
		"no kind":        record.NewWithID("r", "a", "x", &recordpb.Intent{Id: "i", Zone: "a", Epoch: 1, Model: "m", Server: "s"}),
		"bad copy":       record.NewWithID("r", "a", "x", &recordpb.Claim{Copies: []*recordpb.Intent{bad.Proto()}}),
		"many copies":    record.NewWithID("r", "a", "x", &recordpb.Claim{Copies: many}),
		"negative epoch": record.NewWithID("r", "a", "x", &recordpb.Release{Epoch: -1}),
		"no result":      record.NewWithID("r", "a", "x", &recordpb.Outcome{IntentId: "i", Epoch: 1}),
		"no member":      record.NewWithID("r", "a", "x", &recordpb.Member{}),
		"negative base":  record.NewWithID("r", "a", "x", &recordpb.Targets{Base: -1}),
		"snapshot":       record.NewWithID("r", "a", "x", &recordpb.Snapshot{Through: -1}),
		"nil body":       record.NewWithID("r", "a", "x", (*recordpb.Claim)(nil)),
	} {
		t.Run(name, func(t *testing.T) {
			_, err := record.Marshal(r)
			require.ErrorIs(t, err, record.ErrMalformed)
		})
	}
	_, err := record.Unmarshal([]byte{0xff})
	require.ErrorIs(t, err, record.ErrMalformed)
	_, err = record.Unmarshal([]byte("\x0a\x01r"))
	require.ErrorIs(t, err, record.ErrUnknownBody)
	_, err = record.Unmarshal(make([]byte, record.MaxBytes+1))
	require.ErrorIs(t, err, record.ErrTooLarge)
}

func FuzzUnmarshal(f *testing.F) {
	for _, r := range []*recordpb.Record{
		record.NewWithID("r", "a", "x", intent().Proto()),
		record.NewWithID("r", "a", "x", &recordpb.Claim{Copies: []*recordpb.Intent{intent().Proto()}}),
		record.NewWithID("r", "a", "x", &recordpb.Targets{Document: []byte("{}")}),
	} {
		payload, err := record.Marshal(r)
		require.NoError(f, err)
		f.Add(payload)
	}
	f.Fuzz(func(t *testing.T, payload []byte) {
		r, err := record.Unmarshal(payload)
		if err != nil {
			return
		}
		again, err := record.Marshal(r)
		require.NoError(t, err, "whatever is accepted can be written again")
		second, err := record.Unmarshal(again)
		require.NoError(t, err)
		require.True(t, proto.Equal(r, second))
	})
}
