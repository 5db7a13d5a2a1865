package validate

import (
	"bytes"
	"encoding/json"
	"reflect"
	"strings"
	"sync"

	"github.com/cockroachdb/errors"
)

// checkNames checks that a JSON value, which has to be well-formed, is read into a type as it is written. The reader ignores the
// case of a field's name and merges fields that stand twice, so each field may stand only once and only as it is spelt in the
// type. Fields that the type lacks are not read and not checked.
func checkNames(text json.RawMessage, read reflect.Type) error {
	switch {
	case read.Kind() == reflect.Struct:
		return checkFields(text, read)
	case read.Kind() == reflect.Slice && read.Elem().Kind() == reflect.Struct:
		var elements []json.RawMessage
		if err := json.Unmarshal(text, &elements); err != nil {
			return err
		}
		for _, element := range elements {
			if err := checkNames(element, read.Elem()); err != nil {
				return err
			}
		}
	}
	return nil
}

// checkFields checks the names in a JSON object that is read into a struct. A null is read as no object.
func checkFields(text json.RawMessage, read reflect.Type) error {
	decoder := json.NewDecoder(bytes.NewReader(text))
	if start, err := decoder.Token(); err != nil || start != json.Delim('{') {
		return err
	}
	seen := map[string]bool{}
	for decoder.More() {
		token, err := decoder.Token()
		if err != nil {
			return err
		}
		var value json.RawMessage
		if err := decoder.Decode(&value); err != nil {
			return err
		}
		name, _ := token.(string)
		field, found := fieldFor(name, read)
		switch {
		case !found:
			continue
		case name != field.name:
			return errors.Newf("%s: this field is spelt %s", name, field.name)
		case seen[name]:
			return errors.Newf("%s: this field stands twice", name)
		}
		seen[name] = true
		if err := checkNames(value, field.kind); err != nil {
			return errors.Wrap(err, name)
		}
	}
	return nil
}

// readField is a field of a type that configurations are read into.
type readField struct {
	name string // in JSON
	kind reflect.Type
}

// fieldsByType holds the fields of each type that has been read into, as []readField by reflect.Type.
var fieldsByType sync.Map

// fieldFor returns the field of a struct that a name is read into, whatever its case.
func fieldFor(name string, read reflect.Type) (field readField, found bool) {
	for _, field := range fieldsOf(read) {
		if strings.EqualFold(field.name, name) {
			return field, true
		}
	}
	return readField{}, false
}

// fieldsOf returns the fields of a struct.
func fieldsOf(read reflect.Type) (fields []readField) {
	if known, found := fieldsByType.Load(read); found {
		return known.([]readField)
	}
	for _, field := range reflect.VisibleFields(read) {
		fields = append(fields, readField{jsonName(field), field.Type})
	}
	fieldsByType.Store(read, fields)
	return fields
}

// jsonName returns the name of a field in JSON.
func jsonName(field reflect.StructField) string {
	name, _, _ := strings.Cut(field.Tag.Get("json"), ",")
	return name
}
