package gateway

import (
	"crypto/sha256"
	"encoding/binary"
	"hash"

	"github.com/cyclamenhoist/cyclamenhoist/pkg/identity"
)

// identityHash hashes a list of fields. Each field is prefixed with its length,
// so different lists never yield the same input to the hash.
type identityHash struct {
	state hash.Hash
}

func (h *identityHash) addBytes(field []byte) {
	if h.state == nil {
		h.state = sha256.New()
	}
	var length [8]byte
	binary.BigEndian.PutUint64(length[:], uint64(len(field)))
	h.state.Write(length[:])
	h.state.Write(field)
}

func (h *identityHash) add(field string) { h.addBytes([]byte(field)) }

func (h *identityHash) sum() [identity.KeySize]byte {
	return [identity.KeySize]byte(h.state.Sum(nil)[:identity.KeySize])
}
