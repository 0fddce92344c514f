package membership_test

import (
	"google.golang.org/protobuf/proto"

	"github.com/cyclamenhoist/cyclamenhoist/internal/peer"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/membership"
)

func init() {
	membership.SetEncodedSize(func(d *membership.Delta) int { return proto.Size(peer.EncodeDelta(d)) })
}
