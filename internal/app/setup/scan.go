package setup

import (
	"bufio"
	"bytes"
	"strings"
)

// keyPos is the position of one key. The INI library returns the values, but
// not their positions, and keeps only the last of two equal keys.
type keyPos struct {
	section string
	key     string
	line    int
}

// layout holds the positions of the sections and keys of a file.
type layout struct {
	sections map[string]int
	entries  []keyPos
}

// scan finds the positions in data and reports what the INI library would
// silently accept: duplicate sections and keys, lines that are neither, keys
// outside sections, and values over several lines.
func scan(file string, data []byte, bad *BadError) layout {
	out := layout{sections: map[string]int{}}
	seen := map[keyPos]int{}
	section := ""
	lines := bufio.NewScanner(bytes.NewReader(bytes.TrimPrefix(data, []byte("\xef\xbb\xbf"))))
	lines.Buffer(nil, maxFile)
	for n := 1; lines.Scan(); n++ {
		text := strings.TrimSpace(lines.Text())
		if text == "" || text[0] == '#' || text[0] == ';' {
			continue
		}
		at := Problem{file: file, line: n, section: section}
		if text[0] == '[' {
			section = out.openSection(text, at, bad)
			continue
		}
		e, reason := readEntry(section, text)
		if reason != "" {
			at.text = reason
			bad.add(at)
			continue
		}
		at.key = e.key
		if first := seen[e]; first > 0 {
			at.text = "given twice, first on line " + itoa(first)
			bad.add(at)
			continue
		}
		seen[e] = n
		e.line = n
		out.entries = append(out.entries, e)
	}
	return out
}

// openSection parses the header of a section, records its line and returns its
// name.
func (l *layout) openSection(text string, at Problem, bad *BadError) string {
	name, ok := strings.CutSuffix(text[1:], "]")
	name = strings.TrimSpace(name)
	at.section = name
	switch first := l.sections[name]; {
	case !ok || name == "":
		at.section = ""
		at.text = "the section's name must stand in [ and ]"
		bad.add(at)
	case first > 0:
		at.text = "section given twice, first on line " + itoa(first)
		bad.add(at)
	default:
		l.sections[name] = at.line
	}
	return name
}

func readEntry(section, text string) (keyPos, string) {
	key, value, ok := strings.Cut(text, "=")
	key, value = strings.TrimSpace(key), strings.TrimSpace(value)
	switch {
	case !ok || key == "":
		return keyPos{}, "the line is neither a [section], a key = value nor a comment"
	case section == "":
		return keyPos{}, "the key " + key + " stands before any section"
	case strings.HasPrefix(value, `"""`) || strings.HasPrefix(value, "`"):
		return keyPos{}, "values over several lines are not read"
	case strings.ContainsAny(key, "\"`"):
		return keyPos{}, "the name of a key has no quotes"
	}
	return keyPos{section: section, key: key}, ""
}
