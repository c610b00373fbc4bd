package entry

import "unicode/utf8"

const hexDigits = "0123456789abcdef"

// appendString appends text as a JSON string. Its output equals that of
// encoding/json with HTML escaping off; a test compares the two. It is used
// instead of encoding/json because it runs for each token and does not allocate.
func appendString(dst []byte, text string) []byte {
	dst = append(dst, '"')
	start := 0
	for i := 0; i < len(text); {
		b := text[i]
		if b < utf8.RuneSelf {
			if b >= ' ' && b != '"' && b != '\\' {
				i++
				continue
			}
			dst = append(dst, text[start:i]...)
			dst = appendEscape(dst, b)
			i++
			start = i
			continue
		}
		r, size := utf8.DecodeRuneInString(text[i:])
		if escaped := runeEscape(r, size); escaped != "" {
			dst = append(dst, text[start:i]...)
			dst = append(dst, escaped...)
			start = i + size
		}
		i += size
	}
	dst = append(dst, text[start:]...)
	return append(dst, '"')
}

// runeEscape returns the escape sequence of a rune that must be escaped, or "".
// These are invalid UTF-8 bytes and U+2028 and U+2029, which end a string in
// JavaScript.
func runeEscape(r rune, size int) string {
	switch {
	case r == utf8.RuneError && size == 1:
		return `\ufffd`
	case r == '\u2028':
		return `\u2028`
	case r == '\u2029':
		return `\u2029`
	}
	return ""
}

// appendEscape appends the escape sequence of an ASCII character.
func appendEscape(dst []byte, b byte) []byte {
	switch b {
	case '"', '\\':
		return append(dst, '\\', b)
	case '\b':
		return append(dst, '\\', 'b')
	case '\f':
		return append(dst, '\\', 'f')
	case '\n':
		return append(dst, '\\', 'n')
	case '\r':
		return append(dst, '\\', 'r')
	case '\t':
		return append(dst, '\\', 't')
	}
	return append(dst, '\\', 'u', '0', '0', hexDigits[b>>4], hexDigits[b&0xf])
}
