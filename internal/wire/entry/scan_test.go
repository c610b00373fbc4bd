package entry_test

import (
	"bytes"
	"encoding/json"
	"slices"
	"testing"

	"fulmarwick/internal/wire/entry"

	"pgregory.net/rapid"
)

// drawValue draws the text of a JSON value.
func drawValue(t *rapid.T, depth int) string {
	space := rapid.SampledFrom([]string{"", " ", "\n\t", "\r "})
	text := rapid.SampledFrom([]string{`""`, `"a"`, `"\""`, `"\\"`, `"]},:["`, `"é\n"`})
	kinds := 4
	if depth == 0 {
		kinds = 2
	}
	out := ""
	switch rapid.IntRange(0, kinds-1).Draw(t, "kind") {
	case 0:
		out = text.Draw(t, "text")
	case 1:
		out = rapid.SampledFrom([]string{"0", "-1.5e3", "true", "null"}).Draw(t, "literal")
	case 2:
		for n := range rapid.IntRange(0, 3).Draw(t, "elements") {
			if n > 0 {
				out += ","
			}
			out += drawValue(t, depth-1)
		}
		out = "[" + space.Draw(t, "space") + out + "]"
	case 3:
		for n := range rapid.IntRange(0, 3).Draw(t, "members") {
			if n > 0 {
				out += ","
			}
			out += space.Draw(t, "space") + text.Draw(t, "name") + space.Draw(t, "space") + ":" + drawValue(t, depth-1)
		}
		out = "{" + space.Draw(t, "space") + out + "}"
	}
	return space.Draw(t, "space") + out + space.Draw(t, "space")
}

// Guards against elements and members that are read otherwise than encoding/json reads them.
func TestElementsAndMembersAreThoseOfJSON(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		value := []byte(drawValue(t, 3))
		var got, want []string
		var list []json.RawMessage
		record := func(element []byte) error {
			got = append(got, string(element))
			return nil
		}
		switch bytes.TrimSpace(value)[0] {
		case '[':
			if err := json.Unmarshal(value, &list); err != nil {
				t.Fatal(err)
			}
			for _, element := range list {
				want = append(want, string(element))
			}
			if err := entry.ForEachElement(value, record); err != nil {
				t.Fatal(err)
			}
		case '{':
			// Of members with the same name the last one counts.
			last := map[string]string{}
			if err := entry.ForEachMember(value, func(name string, member []byte) error {
				last[name] = string(member)
				return nil
			}); err != nil {
				t.Fatal(err)
			}
			var members map[string]json.RawMessage
			if err := json.Unmarshal(value, &members); err != nil {
				t.Fatal(err)
			}
			for name, member := range members {
				want = append(want, name+string(member))
				got = append(got, name+last[name])
			}
			if len(last) != len(members) {
				t.Fatalf("got %d members of %q, want %d", len(last), value, len(members))
			}
		}
		if !slices.Equal(got, want) {
			t.Fatalf("got %q of %q, want %q", got, value, want)
		}
	})
}
