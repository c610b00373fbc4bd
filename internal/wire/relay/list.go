package relay

import (
	"iter"
	"strings"
)

// splitList iterates over the names in a comma-separated header value.
func splitList(list string) iter.Seq[string] {
	return func(yield func(string) bool) {
		for name := range strings.SplitSeq(list, ",") {
			if name = strings.TrimSpace(name); name != "" && !yield(name) {
				return
			}
		}
	}
}
