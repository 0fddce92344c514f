package placer

import (
	"slices"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protodesc"
	"google.golang.org/protobuf/reflect/protoregistry"
	"google.golang.org/protobuf/types/descriptorpb"
	"google.golang.org/protobuf/types/dynamicpb"

	"github.com/cyclamenhoist/cyclamenhoist/internal/placer/placerpb"
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
