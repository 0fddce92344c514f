package streamorigin

import (
	"encoding/json"
	"slices"

	"github.com/go-faster/errors"
)

// VersionRecord states the software versions at which streams that still last can have begun. It
// outlives the instances.
type VersionRecord struct {
	// Complete means that the servers have had no other version within TTL.
	Complete bool `json:"complete"`
	// Services maps each service to its versions, in order.
	Services map[string][]string `json:"services"`
}

// ErrVersionRecord means that a record of versions can't be read.
var ErrVersionRecord = errors.New("record of versions unreadable")

// Encode returns the record as it is stored.
func (r VersionRecord) Encode() ([]byte, error) {
	value, err := json.Marshal(r)
	if err != nil {
		return nil, errors.Wrap(err, "encode record of versions")
	}
	return value, nil
}

// DecodeVersionRecord returns a stored record, or ErrVersionRecord.
func DecodeVersionRecord(value []byte) (VersionRecord, error) {
	var r VersionRecord
	if err := json.Unmarshal(value, &r); err != nil {
		return VersionRecord{}, errors.Join(ErrVersionRecord, err)
	}
	return r, nil
}

// Equal reports whether two records state the same.
func (r VersionRecord) Equal(other VersionRecord) bool {
	if r.Complete != other.Complete || len(r.Services) != len(other.Services) {
		return false
	}
	for service, versions := range r.Services {
		if !slices.Equal(versions, other.Services[service]) {
			return false
		}
	}
	return true
}
