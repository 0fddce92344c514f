package placer

import (
	"path"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protodesc"
	"google.golang.org/protobuf/reflect/protoregistry"
	"google.golang.org/protobuf/types/descriptorpb"
	"google.golang.org/protobuf/types/dynamicpb"
	"storj.io/drpc"

	"github.com/cyclamenhoist/cyclamenhoist/internal/bootclock"
	"github.com/cyclamenhoist/cyclamenhoist/internal/placer/placerpb"
	"github.com/cyclamenhoist/cyclamenhoist/internal/storemirror"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/fleet"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/limit"
	"github.com/cyclamenhoist/cyclamenhoist/platform"
	"github.com/cyclamenhoist/cyclamenhoist/platform/standin"
)

// Builds whose placements have no leaving servers read those of this one, and the other way round.
func TestPlacementOfBuildsWithoutLeavingServers(t *testing.T) {
	file := protodesc.ToFileDescriptorProto(placerpb.File_internal_placer_placerpb_placer_proto)
	for _, message := range file.MessageType {
		if message.GetName() == "Placement" {
			message.Field = slices.DeleteFunc(message.Field, func(f *descriptorpb.FieldDescriptorProto) bool { return f.GetName() == "leaving" })
		}
	}
	former, err := protodesc.NewFile(file, protoregistry.GlobalFiles)
	require.NoError(t, err)
	formerPlacement := former.Messages().ByName("Placement")
	require.Equal(t, (&placerpb.Placement{}).ProtoReflect().Descriptor().Fields().Len()-1, formerPlacement.Fields().Len())

	sent := &placerpb.Placement{
		Placing: true, Epoch: 3, Version: 7, Servers: []*placerpb.ServerPlacement{{Id: "s", Sequence: 5}},
		Leaving: []*placerpb.ServerStanding{{Server: "leaving", Born: 5, Leaving: true}},
	}
	data, err := proto.Marshal(sent)
	require.NoError(t, err)
	read := dynamicpb.NewMessage(formerPlacement)
	require.NoError(t, proto.Unmarshal(data, read))
	read.SetUnknown(nil)

	data, err = proto.Marshal(read)
	require.NoError(t, err)
	var back placerpb.Placement
	require.NoError(t, proto.Unmarshal(data, &back))
	assert.Empty(t, back.Leaving)
	sent.Leaving = nil
	assert.True(t, proto.Equal(sent, &back))
}

// Builds that don't ask for news of the store, or don't tell any, work with those that do.
func TestNewsOfTheStoreIsOptional(t *testing.T) {
	c := newCluster(t, []string{"a"}, standin.ServerConfig{ID: "s0", OnDisk: []string{"a"}})
	i := c.start("i0")
	c.eventually("it holds the lease", i.elector.placing)
	i.mirror.ManifestRead(storemirror.ManifestReading{InForce: 7, Newest: 7, CurrentSince: bootclock.Now(), AtEnd: true})
	c.eventually("it has reported to itself", func() bool { return i.peerAddresses.Load() != nil })

	placement, err := (&service{placer: i.Placer}).Watch(t.Context(), &placerpb.WatchRequest{})
	require.NoError(t, err)
	assert.Nil(t, placement.Store)
	placement, err = (&service{placer: i.Placer}).Watch(t.Context(), &placerpb.WatchRequest{Store: true})
	require.NoError(t, err)
	assert.Equal(t, int64(7), placement.Store.GetManifestVersion())
	assert.Less(t, decodeNews(placement.Store).ConfirmationAge, time.Minute)
	placement.Store.ConfirmedMs = 0
	assert.Equal(t, storemirror.NeverConfirmed, decodeNews(placement.Store).ConfirmationAge, "an earlier build doesn't tell it")

	reply, err := (&service{placer: i.Placer}).Report(t.Context(), &placerpb.DemandReport{Instance: "former", Address: "10.0.0.1:1"})
	require.NoError(t, err)
	assert.Contains(t, reply.Peers, "10.0.0.1:1")
	version := reply.PeersVersion
	reply, err = (&service{placer: i.Placer}).Report(t.Context(), &placerpb.DemandReport{Instance: "former", Address: "10.0.0.1:1", PeersVersion: version})
	require.NoError(t, err)
	assert.Empty(t, reply.Peers, "they are known")
}

// A build that knows the server list by its offset alone is told nothing of it that it would rely on.
func TestListIsNotToldByOffset(t *testing.T) {
	c := newCluster(t, []string{"a"}, standin.ServerConfig{ID: "s0", OnDisk: []string{"a"}})
	i := c.start("i0")
	c.eventually("it holds the lease", i.elector.placing)
	i.mirror.ListRead(platform.ServerListBatch{
		Entries: []fleet.Entry{{ID: "s", At: fleet.Position{Era: 2, Offset: 7}, Server: &fleet.Server{ID: "s"}}},
		Next:    8, Era: 2, Complete: true, AtEnd: true, CurrentSince: bootclock.Now(),
	})
	placement, err := (&service{placer: i.Placer}).Watch(t.Context(), &placerpb.WatchRequest{Store: true, ListEnd: 3})
	require.NoError(t, err)
	told := placement.Store
	assert.Empty(t, told.Servers)
	assert.Equal(t, int64(3), told.ListEnd)
	assert.Greater(t, time.Duration(told.ListAgeMs)*time.Millisecond, 24*time.Hour, "it reads the list itself")

	placement, err = (&service{placer: i.Placer}).Watch(t.Context(), &placerpb.WatchRequest{Store: true, Editions: true})
	require.NoError(t, err)
	assert.Len(t, placement.Store.Servers, 1)
	assert.True(t, placement.Store.Complete)
	assert.Equal(t, fleet.Position{Era: 2, Offset: 8}, decodeNews(placement.Store).ListEnd)
}

// An entry of the server list is the same after it was told.
func TestNewsIsDecodedAsTold(t *testing.T) {
	news := storemirror.News{
		Held: time.Second, List: fleet.Edition{ID: 1 << 63, Revision: 8, Digest: 1 << 62}, ManifestVersion: 3, ManifestAge: 2 * time.Second, ListEnd: fleet.Position{Era: 2, Offset: 9}, ListAge: time.Millisecond, Complete: true,
		Entries: []fleet.Entry{
			{ID: "s", At: fleet.Position{Era: 2, Offset: 5}, Restored: true, Server: &fleet.Server{
				ID: "s", Service: summaries, Address: "10.0.0.2:1", Zone: "z", Version: "v2", StartedAt: 77, Sequence: 4, Slots: 12,
				Draining: true, Remaining: time.Second, Models: []fleet.Resident{{Model: "a", Adapters: []string{"x"}}},
			}},
			{ID: "gone", At: fleet.Position{Era: 1, Offset: 6}, Removed: true, LastReport: fleet.LastReport{StartedAt: 6, Sequence: 7, Exact: true}},
		},
	}
	assert.Equal(t, news, decodeNews(encodeNews(news, 0)))
}

// An instance that the store rejects gets the manifest from another one.
func TestManifestOfAnotherInstance(t *testing.T) {
	c := newCluster(t, []string{"a"}, standin.ServerConfig{ID: "s0", OnDisk: []string{"a"}})
	first := c.start("i0")
	c.eventually("i0 holds the lease", first.elector.placing)
	second := c.start("i1")
	_, err := first.FetchManifest(t.Context())
	require.Error(t, err, "no other instance has one")
	first.mirror.SetDocument(1, []byte("{}"))
	c.eventually("i1 has the manifest", func() bool {
		document, err := second.FetchManifest(t.Context())
		return err == nil && string(document) == "{}"
	})
}

// servedCalls describes the service of a build that lacks some calls.
type servedCalls struct {
	placerpb.DRPCPlacerDescription

	without []string
}

// NumMethods implements drpc.Description.
func (s servedCalls) NumMethods() int { return s.DRPCPlacerDescription.NumMethods() - len(s.without) }

// Method implements drpc.Description.
func (s servedCalls) Method(n int) (string, drpc.Encoding, drpc.Receiver, any, bool) {
	for i := range s.DRPCPlacerDescription.NumMethods() {
		rpc, encoding, receiver, method, ok := s.DRPCPlacerDescription.Method(i)
		if slices.Contains(s.without, path.Base(rpc)) {
			continue
		}
		if n == 0 {
			return rpc, encoding, receiver, method, ok
		}
		n--
	}
	return "", nil, nil, nil, false
}

// A holder of the build before client accounts doesn't know the calls for quotas and manifests. Both
// fail at once, and the other calls on the same connections go on.
func TestHolderWithoutQuotasAndManifests(t *testing.T) {
	c := newCluster(t, []string{"a"}, standin.ServerConfig{ID: "s0", OnDisk: []string{"a"}})
	c.withoutCalls = []string{"ReserveQuota", "ReadManifest"}
	former := c.start("i0")
	c.eventually("i0 holds the lease", former.elector.placing)
	former.mirror.SetDocument(1, []byte("{}"))
	c.withoutCalls = nil
	i := c.start("i1")
	i.reserve(c, permitRequest(0, 1))
	_, err := i.ReserveQuota(t.Context(), "account", limit.QuotaAsk{Need: 1, Limit: limit.QuotaLimit{Rate: 1, Burst: 1}})
	require.Error(t, err)
	require.NotErrorIs(t, err, errNoHolder)
	_, err = i.FetchManifest(t.Context())
	require.Error(t, err)
	i.reserve(c, permitRequest(0, 1))
}

// A holder that the store rejects learns of newer manifests from the instances that it tells.
func TestHolderHearsOfNewerManifests(t *testing.T) {
	c := newCluster(t, []string{"a"}, standin.ServerConfig{ID: "s0", OnDisk: []string{"a"}})
	holder := c.start("i0")
	c.eventually("i0 holds the lease", holder.elector.placing)
	i := c.start("i1")
	i.mirror.ManifestRead(storemirror.ManifestReading{InForce: 9, Newest: 9, CurrentSince: bootclock.Now(), AtEnd: true})
	c.eventually("i0 has heard of it", holder.mirror.IsBehind)
}

// Builds that know neither recorded versions nor recorded streams read the demand and the replies of this one, and
// get none.
func TestDemandOfBuildsWithoutRecordedStreams(t *testing.T) {
	report := &placerpb.DemandReport{
		Instance: "i0", Address: "10.0.0.1:1", Capacity: 1, LacksVersions: true,
		Origins: []*placerpb.StreamOrigin{{Stream: "s", Service: summaries, ServerVersion: "v1"}},
	}
	reply := &placerpb.DemandReply{
		Placing: true, Instances: 2, Successors: []string{"i1"}, Versions: []*placerpb.ServiceVersions{{Service: summaries, Versions: []string{"v1"}}},
	}
	file := protodesc.ToFileDescriptorProto(placerpb.File_internal_placer_placerpb_placer_proto)
	for _, message := range file.MessageType {
		if name := message.GetName(); name == "DemandReport" || name == "DemandReply" {
			message.Field = slices.DeleteFunc(message.Field, func(f *descriptorpb.FieldDescriptorProto) bool {
				return slices.Contains([]string{"lacks_versions", "origins", "versions"}, f.GetName())
			})
		}
	}
	former, err := protodesc.NewFile(file, protoregistry.GlobalFiles)
	require.NoError(t, err)
	pass := func(sent, back proto.Message) {
		data, err := proto.Marshal(sent)
		require.NoError(t, err)
		read := dynamicpb.NewMessage(former.Messages().ByName(sent.ProtoReflect().Descriptor().Name()))
		require.NoError(t, proto.Unmarshal(data, read))
		read.SetUnknown(nil)
		data, err = proto.Marshal(read)
		require.NoError(t, err)
		require.NoError(t, proto.Unmarshal(data, back))
	}
	var backReport placerpb.DemandReport
	pass(report, &backReport)
	report.LacksVersions, report.Origins = false, nil
	assert.True(t, proto.Equal(report, &backReport))
	var backReply placerpb.DemandReply
	pass(reply, &backReply)
	reply.Versions = nil
	assert.True(t, proto.Equal(reply, &backReply))
}
