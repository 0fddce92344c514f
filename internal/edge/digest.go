package edge

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
)

// digestBytes is the size of a digest. Requests of different content have different ones.
const digestBytes = 16

// digest identifies the content of the request: what a server is sent, except for what differs
// between the attempts of a client. It is the same at all instances.
func (q *request) digest() string {
	hash := sha256.New()
	var length [8]byte
	write := func(part []byte) {
		binary.BigEndian.PutUint64(length[:], uint64(len(part)))
		hash.Write(length[:])
		hash.Write(part)
	}
	for _, part := range []string{q.method, q.host, q.target, q.model} {
		write([]byte(part))
	}
	for _, part := range q.head.Prefix {
		write([]byte(part.ID))
	}
	write(q.body)
	return hex.EncodeToString(hash.Sum(nil)[:digestBytes])
}
