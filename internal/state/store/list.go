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
	var out [][]byte
	depth, begin := 0, 0
	inString := false
	for at := 0; at < len(data); at++ {
		c := data[at]
		switch {
		case inString:
			if c == '\\' {
				at++
			} else if c == '"' {
				inString = false
			}
			continue
		case depth == 0 && c != '[' && !isSpace(c):
			return nil, errNoArray
		}
		switch c {
		case '"':
			inString = true
		case '[', '{':
			if depth++; depth == 1 {
				begin = at + 1
			}
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

// appendElement appends an element of an array unless it is blank, as in an empty array.
func appendElement(out [][]byte, element []byte) [][]byte {
	for _, c := range element {
		if !isSpace(c) {
			return append(out, element)
		}
	}
	return out
}

func isSpace(c byte) bool { return c == ' ' || c == '\n' || c == '\r' || c == '\t' }
