// Package document decodes JSON documents that others write: operators, backend servers, other
// instances, or a writer that nobody knows. Unlike encoding/json it tells a field that is
// missing from one that is zero, and names the field that is wrong.
package document

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"reflect"
	"strings"
)

// FieldError reports a field that is missing, null, of another type or out of range.
type FieldError struct {
	// Field is the path of the field, or empty if the document as a whole can't be read.
	Field string
	Err   error
}

func (e *FieldError) Error() string {
	if e.Field == "" {
		return "the document: " + e.Err.Error()
	}
	return "the field " + e.Field + ": " + e.Err.Error()
}

func (e *FieldError) Unwrap() error { return e.Err }

// Validator is implemented by documents whose fields have ranges.
type Validator interface {
	// InvalidField returns the name of the first field that is out of range, or "" if there
	// is none.
	InvalidField() string
}

var (
	errMissing    = errors.New("it is missing")
	errOutOfRange = errors.New("it is out of range")
)

// Decode decodes a JSON object into the struct that out points to, by the exact names of its
// fields. All fields are required but those with the option omitempty or omitzero. The error
// is a *FieldError.
func Decode(raw []byte, out any) error {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(raw, &fields); err != nil {
		return &FieldError{Err: err}
	}
	if fields == nil {
		return &FieldError{Err: errMissing}
	}
	v := reflect.ValueOf(out).Elem()
	for i := range v.NumField() {
		name, optional := tag(v.Type().Field(i))
		value, ok := fields[name]
		if ok && !bytes.Equal(value, []byte("null")) {
			if err := json.Unmarshal(value, v.Field(i).Addr().Interface()); err != nil {
				return &FieldError{Field: name, Err: err}
			}
		} else if !optional {
			return &FieldError{Field: name, Err: errMissing}
		}
	}
	return Validate(out)
}

// tag returns the name of a field in documents, and whether it may be missing.
func tag(f reflect.StructField) (name string, optional bool) {
	name, options, _ := strings.Cut(f.Tag.Get("json"), ",")
	if name == "" {
		name = f.Name
	}
	return name, strings.Contains(options, "omit")
}

// DecodeLoosely decodes JSON in the way of encoding/json: a field that is missing or null
// is zero. The error is a *FieldError.
func DecodeLoosely(raw []byte, out any) error {
	err := json.Unmarshal(raw, out)
	var wrongType *json.UnmarshalTypeError
	if errors.As(err, &wrongType) {
		return &FieldError{Field: wrongType.Field, Err: err}
	}
	if err != nil {
		return &FieldError{Err: err}
	}
	return Validate(out)
}

// Validate returns a *FieldError if the document is a Validator with an invalid field.
func Validate(doc any) error {
	if v, ok := doc.(Validator); ok {
		if field := v.InvalidField(); field != "" {
			return &FieldError{Field: field, Err: errOutOfRange}
		}
	}
	return nil
}

// Field returns the path of the field that an error names. It is empty if the error names
// none.
func Field(err error) string {
	var e *FieldError
	if errors.As(err, &e) {
		return e.Field
	}
	return ""
}

// Element returns the path of a field in an element of a list.
func Element(list string, i int, field string) string {
	return fmt.Sprintf("%s[%d].%s", list, i, field)
}
