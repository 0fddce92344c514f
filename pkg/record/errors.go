package record

import "github.com/go-faster/errors"

// The errors of this package.
var (
	// ErrTooLarge: the encoded record exceeds MaxBytes.
	ErrTooLarge = errors.New("record too large")
	// ErrMalformed: the payload isn't an encoded record, or a field is missing or
	// out of range. A malformed record is void for every reader.
	ErrMalformed = errors.New("malformed record")
	// ErrUnknownBody: the record has no body of a kind that this version knows.
	ErrUnknownBody = errors.New("unknown record body")
)
