package entry

import (
	"bytes"
	"encoding/json"
)

// The functions below read one value at a time. Decoded whole, a list of many small values takes many times
// its size, before the first of them is found to be wrong.

// forEachElement calls read for each element of a JSON array, until it returns an error. The array must be
// valid.
func forEachElement(array []byte, read func(element []byte) error) error {
	rest := bytes.TrimSpace(array)[1:]
	for {
		end := valueEnd(rest)
		element := bytes.TrimSpace(rest[:end])
		if len(element) == 0 {
			return nil
		}
		if err := read(element); err != nil {
			return err
		}
		if rest[end] != ',' {
			return nil
		}
		rest = rest[end+1:]
	}
}

// forEachMember calls read for each member of a JSON object, until it returns an error. The object must be
// valid.
func forEachMember(object []byte, read func(name string, value []byte) error) error {
	rest := bytes.TrimSpace(object)[1:]
	for {
		nameEnd := valueEnd(rest)
		if len(bytes.TrimSpace(rest[:nameEnd])) == 0 {
			return nil
		}
		var name string
		if err := json.Unmarshal(rest[:nameEnd], &name); err != nil {
			return err
		}
		rest = rest[nameEnd+1:]
		end := valueEnd(rest)
		if err := read(name, bytes.TrimSpace(rest[:end])); err != nil {
			return err
		}
		if rest[end] != ',' {
			return nil
		}
		rest = rest[end+1:]
	}
}

// valueEnd returns the index of the comma, colon or bracket that follows the JSON value at the start of data.
func valueEnd(data []byte) int {
	depth := 0
	for i := 0; i < len(data); i++ {
		switch data[i] {
		case '"':
			i += stringEnd(data[i:])
		case '[', '{':
			depth++
		case ']', '}':
			if depth == 0 {
				return i
			}
			depth--
		case ',', ':':
			if depth == 0 {
				return i
			}
		}
	}
	return len(data)
}

// stringEnd returns the index of the quote that ends the JSON string at the start of data.
func stringEnd(data []byte) int {
	for i := 1; i < len(data); i++ {
		switch data[i] {
		case '\\':
			i++
		case '"':
			return i
		}
	}
	return len(data)
}
