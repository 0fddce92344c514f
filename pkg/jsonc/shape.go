package jsonc

import (
	"bytes"
	"encoding/json"
	"fmt"
	"reflect"
	"slices"
	"strings"
)

// checkShape checks a document against the Go type into which it is decoded. It
// reports nulls, values of a wrong type, and unknown and repeated keys.
func checkShape(raw json.RawMessage, want reflect.Type, path string) Faults {
	for want.Kind() == reflect.Pointer {
		want = want.Elem()
	}
	if isNull(raw) {
		return Faults{{Path: path, Problem: "must not be null"}}
	}
	switch {
	case want == durationType:
		return checkScalar(raw, want, path, `a duration such as "1m30s"`)
	case want.Kind() == reflect.Struct:
		return checkStruct(raw, want, path)
	case want.Kind() == reflect.Slice:
		return checkSlice(raw, want, path)
	case want.Kind() == reflect.Map:
		return checkMap(raw, want, path)
	default:
		return checkScalar(raw, want, path, kindName(want.Kind()))
	}
}

func isNull(raw json.RawMessage) bool {
	return string(bytes.TrimSpace(raw)) == "null"
}

func kindName(kind reflect.Kind) string {
	switch kind {
	case reflect.String:
		return "a string"
	case reflect.Bool:
		return "true or false"
	case reflect.Float32, reflect.Float64:
		return "a number"
	default:
		return "a whole number"
	}
}

func checkScalar(raw json.RawMessage, want reflect.Type, path, name string) Faults {
	if json.Unmarshal(raw, reflect.New(want).Interface()) != nil {
		return Faults{{Path: path, Problem: fmt.Sprintf("must be %s, is %s", name, shorten(raw))}}
	}
	return nil
}

const maxShownBytes = 40

func shorten(raw json.RawMessage) string {
	text := strings.Join(strings.Fields(string(raw)), " ")
	if len(text) > maxShownBytes {
		return text[:maxShownBytes] + "..."
	}
	return text
}

type member struct {
	key   string
	value json.RawMessage
}

// objectMembers returns the members of an object in order, including repeated
// keys. ok is false if raw isn't an object.
func objectMembers(raw json.RawMessage) (members []member, ok bool) {
	decoder := json.NewDecoder(bytes.NewReader(raw))
	token, err := decoder.Token()
	if err != nil || token != json.Delim('{') {
		return nil, false
	}
	for decoder.More() {
		key, err := decoder.Token()
		if err != nil {
			return nil, false
		}
		var value json.RawMessage
		if decoder.Decode(&value) != nil {
			return nil, false
		}
		members = append(members, member{key: key.(string), value: value})
	}
	return members, true
}

func checkStruct(raw json.RawMessage, want reflect.Type, path string) Faults {
	members, ok := objectMembers(raw)
	if !ok {
		return Faults{{Path: path, Problem: "must be an object, is " + shorten(raw)}}
	}
	fields := fieldsByKey(want)
	var faults Faults
	seen := map[string]bool{}
	for _, m := range members {
		at := joinPath(path, m.key)
		field, known := fields[m.key]
		switch {
		case !known:
			faults = append(faults, Fault{Path: at, Problem: "unknown key; known here: " + knownKeys(fields)})
		case seen[m.key]:
			faults = append(faults, Fault{Path: at, Problem: "key given more than once"})
		default:
			faults = append(faults, checkShape(m.value, field, at)...)
		}
		seen[m.key] = true
	}
	return faults
}

func checkSlice(raw json.RawMessage, want reflect.Type, path string) Faults {
	var items []json.RawMessage
	if json.Unmarshal(raw, &items) != nil {
		return Faults{{Path: path, Problem: "must be a list, is " + shorten(raw)}}
	}
	var faults Faults
	for i, item := range items {
		faults = append(faults, checkShape(item, want.Elem(), fmt.Sprintf("%s[%d]", path, i))...)
	}
	return faults
}

func checkMap(raw json.RawMessage, want reflect.Type, path string) Faults {
	members, ok := objectMembers(raw)
	if !ok {
		return Faults{{Path: path, Problem: "must be an object, is " + shorten(raw)}}
	}
	var faults Faults
	for _, m := range members {
		faults = append(faults, checkShape(m.value, want.Elem(), joinPath(path, m.key))...)
	}
	return faults
}

func joinPath(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}

func fieldsByKey(want reflect.Type) map[string]reflect.Type {
	fields := map[string]reflect.Type{}
	for field := range want.Fields() {
		if name := jsonName(field); field.IsExported() && name != "" {
			fields[name] = field.Type
		}
	}
	return fields
}

func knownKeys(fields map[string]reflect.Type) string {
	keys := make([]string, 0, len(fields))
	for key := range fields {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return strings.Join(keys, ", ")
}

// removeFaulty returns the document without the values at the paths of the faults,
// so that the remaining values can be decoded and checked.
func removeFaulty(standard []byte, faults Faults) []byte {
	var tree any
	if json.Unmarshal(standard, &tree) != nil {
		return standard
	}
	pruned, err := json.Marshal(prune(tree, "", faults))
	if err != nil {
		return standard
	}
	return pruned
}

func prune(value any, path string, faults Faults) any {
	switch v := value.(type) {
	case map[string]any:
		for key, item := range v {
			at := joinPath(path, key)
			if faults.hasPath(at) {
				delete(v, key)
				continue
			}
			v[key] = prune(item, at, faults)
		}
	case []any:
		for i, item := range v {
			at := fmt.Sprintf("%s[%d]", path, i)
			if faults.hasPath(at) {
				v[i] = nil
				continue
			}
			v[i] = prune(item, at, faults)
		}
	}
	return value
}
