// Package jsonc is a strict decoder for JSON with comments. It returns all faults
// of a document together, each with its path and the allowed values.
package jsonc

import (
	"bytes"
	"encoding/json"
	"fmt"
	"reflect"
	"sort"
	"strings"
	"time"

	"github.com/go-playground/validator/v10"
	"github.com/tailscale/hujson"

	"github.com/go-faster/errors"
)

// Fault is one error in a document.
type Fault struct {
	// Path is the path of the value, such as "classes[2].max_wait". It is empty
	// if the fault concerns the whole document.
	Path string `json:"path"`
	// Problem describes the error and the allowed values.
	Problem string `json:"problem"`
}

// String returns the path and the problem on one line.
func (f Fault) String() string {
	if f.Path == "" {
		return f.Problem
	}
	return f.Path + ": " + f.Problem
}

// Faults holds all faults of one document.
type Faults []Fault

// Error returns the faults, one per line.
func (fs Faults) Error() string {
	lines := make([]string, len(fs))
	for i, f := range fs {
		lines[i] = f.String()
	}
	return strings.Join(lines, "\n")
}

// Duration is a time.Duration that is encoded as a string such as "1m30s".
type Duration time.Duration

// D returns the value as a time.Duration.
func (d Duration) D() time.Duration { return time.Duration(d) }

// MarshalJSON encodes the duration as a string.
func (d Duration) MarshalJSON() ([]byte, error) {
	return json.Marshal(time.Duration(d).String())
}

// UnmarshalJSON decodes a string such as "1m30s".
func (d *Duration) UnmarshalJSON(data []byte) error {
	var text string
	if err := json.Unmarshal(data, &text); err != nil {
		return errors.New("not a duration")
	}
	parsed, err := time.ParseDuration(text)
	if err != nil {
		return errors.New("not a duration")
	}
	*d = Duration(parsed)
	return nil
}

var durationType = reflect.TypeFor[Duration]()

// Decode decodes a document into the struct that target points to. Fields that the
// document doesn't set retain their values. The error is nil or a Faults that
// lists all syntax errors, unknown and repeated keys, values of a wrong type and
// violations of validate tags.
func Decode(data []byte, target any) error {
	if len(bytes.TrimSpace(data)) == 0 {
		return Faults{{Problem: "empty document"}}
	}
	standard, err := hujson.Standardize(bytes.Clone(data))
	if err != nil {
		return Faults{{Problem: "not JSON with comments: " + err.Error()}}
	}
	faults := checkShape(standard, reflect.TypeOf(target).Elem(), "")
	if len(faults) > 0 {
		// Remove the faulty values, so that the rest can be decoded and checked.
		standard = removeFaulty(standard, faults)
	}
	if err := json.Unmarshal(standard, target); err != nil {
		return append(faults, Fault{Problem: err.Error()})
	}
	faults = append(faults, validateTags(target, faults)...)
	if len(faults) == 0 {
		return nil
	}
	sort.SliceStable(faults, func(i, j int) bool { return faults[i].Path < faults[j].Path })
	return faults
}

func newValidator() *validator.Validate {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(jsonName)
	v.RegisterCustomTypeFunc(func(field reflect.Value) any {
		return time.Duration(field.Int())
	}, Duration(0))
	return v
}

var validate = newValidator()

func validateTags(target any, known Faults) Faults {
	err := validate.Struct(target)
	var invalid validator.ValidationErrors
	if !errors.As(err, &invalid) {
		return nil
	}
	var faults Faults
	for _, field := range invalid {
		_, path, _ := strings.Cut(field.Namespace(), ".")
		if !known.hasPath(path) {
			faults = append(faults, Fault{Path: path, Problem: describe(field)})
		}
	}
	return faults
}

func (fs Faults) hasPath(path string) bool {
	for _, f := range fs {
		if f.Path == path {
			return true
		}
	}
	return false
}

var ruleTexts = map[string]string{
	"required":      "is required",
	"min":           "must be at least %s",
	"gte":           "must be at least %s",
	"gt":            "must be more than %s",
	"max":           "must be at most %s",
	"lte":           "must be at most %s",
	"lt":            "must be less than %s",
	"oneof":         "must be one of: %s",
	"hostname_port": "must be host:port",
	"unique":        "must not repeat a value (%s)",
	"startswith":    "must start with %q",
	"endswith":      "must end with %q",
	"url":           "must be a URL",
	"http_url":      "must be an http or https URL",
	"file":          "must name an existing file",
	"required_with": "is required together with %s",
}

func describe(field validator.FieldError) string {
	text, ok := ruleTexts[field.Tag()]
	if !ok {
		return fmt.Sprintf("must satisfy %s %s", field.Tag(), field.Param())
	}
	if strings.Contains(text, "%") {
		text = fmt.Sprintf(text, field.Param())
	}
	if field.Tag() == "required" {
		return text
	}
	return fmt.Sprintf("%s, is %v", text, field.Value())
}

// jsonName returns the key of a field in a document, or an empty string if the
// field isn't decoded.
func jsonName(field reflect.StructField) string {
	name, _, _ := strings.Cut(field.Tag.Get("json"), ",")
	if name == "-" {
		return ""
	}
	if name == "" {
		return field.Name
	}
	return name
}
