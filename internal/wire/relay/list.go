package relay

import (
	"iter"
	"strings"
)

// splitList goes through the names of a comma-separated header.
func splitList(list string) iter.Seq[string] {
	return func(yield func(string) bool) {
		for name := range strings.SplitSeq(list, ",") {
			if name = strings.TrimSpace(name); name != "" && !yield(name) {
				return
			}
		}
	}
}
