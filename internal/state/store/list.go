package store

import (
	"bytes"
	"encoding/json"
	"io"

	"github.com/go-faster/errors"
)

// decodeList decodes a JSON array of entries. Entries that can't be decoded are skipped and passed to
// malformed, so that one of them does not hide the others.
func decodeList(body io.Reader, malformed func(entry []byte, err error)) ([]ListedBody, error) {
	data, err := io.ReadAll(body)
	if err != nil || string(bytes.TrimSpace(data)) == "null" {
		return nil, err
	}
	entries, err := splitArray(data)
	if err != nil {
		return nil, err
	}
	var out []ListedBody
	for _, entry := range entries {
		var b ListedBody
		if err := json.Unmarshal(entry, &b); err != nil {
			if malformed != nil {
				malformed(entry, err)
			}
			continue
		}
		out = append(out, b)
	}
	return out, nil
}

var errNoArray = errors.New("store: list is no JSON array")

// splitArray returns the elements of a JSON array undecoded. encoding/json refuses the whole array if one
// element is nested too deeply.
func splitArray(data []byte) ([][]byte, error) {
	data = bytes.TrimSpace(data)
	if len(data) == 0 || data[0] != '[' {
		return nil, errNoArray
	}
	var out [][]byte
	depth, begin := 1, 1
	for at := 1; at < len(data); at++ {
		switch data[at] {
		case '"':
			at = endOfString(data, at)
		case '[', '{':
			depth++
		case ']', '}':
			if depth--; depth == 0 {
				return appendElement(out, data[begin:at]), nil
			}
		case ',':
			if depth == 1 {
				out, begin = appendElement(out, data[begin:at]), at+1
			}
		}
	}
	return nil, errors.Wrap(errNoArray, "cut off")
}

// endOfString returns the index of the quote that ends the string which begins at a quote, or the length of
// data if none does.
func endOfString(data []byte, at int) int {
	for at++; at < len(data) && data[at] != '"'; at++ {
		if data[at] == '\\' {
			at++
		}
	}
	return at
}

// appendElement appends an element of an array unless it is blank, as in an empty array.
func appendElement(out [][]byte, element []byte) [][]byte {
	if element = bytes.TrimSpace(element); len(element) == 0 {
		return out
	}
	return append(out, element)
}
