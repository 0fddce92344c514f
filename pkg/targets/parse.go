package targets

import (
	_ "embed" // the example document
	"fmt"
	"slices"

	"github.com/go-faster/errors"

	"github.com/cyclamenhoist/cyclamenhoist/pkg/jsonc"
)

// MaxDocumentBytes is the maximum size of a document in bytes.
const MaxDocumentBytes = 256 << 10

// ErrInvalid is returned for an invalid document.
var ErrInvalid = errors.New("invalid targets document")

// Example is a valid document with comments that explain each field.
//
//go:embed example.jsonc
var Example string

// Default returns the document of Example.
func Default() *Document {
	doc, err := Parse([]byte(Example))
	if err != nil {
		panic(err) // a test parses the embedded document
	}
	return doc
}

// Parse decodes and validates a document. The error wraps both ErrInvalid and a
// jsonc.Faults that lists every fault with its path.
func Parse(data []byte) (*Document, error) {
	if len(data) > MaxDocumentBytes {
		return nil, invalid(jsonc.Faults{{
			Problem: fmt.Sprintf("must be at most %d bytes, is %d", MaxDocumentBytes, len(data)),
		}})
	}
	doc := &Document{}
	var faults jsonc.Faults
	if err := jsonc.Decode(data, doc); err != nil && !errors.As(err, &faults) {
		return nil, errors.Wrap(ErrInvalid, err.Error())
	}
	faults = append(faults, crossFaults(doc, faults)...)
	if len(faults) > 0 {
		return nil, invalid(faults)
	}
	return doc, nil
}

// Validate returns the error of Parse for data, or nil if data is a valid document.
// The result depends on data alone, so that all readers of the log agree on it.
func Validate(data []byte) error {
	_, err := Parse(data)
	return err
}

// invalidError wraps ErrInvalid and the faults.
type invalidError struct{ faults jsonc.Faults }

func (e *invalidError) Error() string { return ErrInvalid.Error() + ":\n" + e.faults.Error() }

func (e *invalidError) Unwrap() []error { return []error{ErrInvalid, e.faults} }

func invalid(faults jsonc.Faults) error {
	slices.SortStableFunc(faults, func(a, b jsonc.Fault) int {
		switch {
		case a.Path < b.Path:
			return -1
		case a.Path > b.Path:
			return 1
		default:
			return 0
		}
	})
	return &invalidError{faults: faults}
}
