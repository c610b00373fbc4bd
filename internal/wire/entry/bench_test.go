package entry_test

import (
	"fmt"
	"net/http"
	"testing"

	"fulmarwick/internal/wire/entry"
)

// BenchmarkStream is the cost of entry alone per token: a model that answers
// at once and a caller that takes everything.
func BenchmarkStream(b *testing.B) {
	for _, tokens := range []int{100, 2000} {
		b.Run(fmt.Sprintf("tokens=%d", tokens), func(b *testing.B) {
			many := make([]string, tokens)
			for i := range many {
				many[i] = "word "
			}
			s := newServer(&fakeModels{words: many})
			s.Limits.Buffer = 256 << 10
			h := s.Handler()
			b.ReportAllocs()
			for b.Loop() {
				h.ServeHTTP(&discardResponse{header: http.Header{}}, request("/v1/chat/completions", chatBody))
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*tokens), "ns/token")
		})
	}
}

// BenchmarkSeal is the cost of a resume token.
func BenchmarkSeal(b *testing.B) {
	sealer := entry.NewSealer(firstKey, 7)
	var dst []byte
	b.ReportAllocs()
	for b.Loop() {
		dst = sealer.Append(dst[:0], entry.Position{})
	}
}

// BenchmarkString is the cost of a token's text as JSON.
func BenchmarkString(b *testing.B) {
	var dst []byte
	b.ReportAllocs()
	for b.Loop() {
		dst = entry.AppendString(dst[:0], "perkataan \"biasa\"\n")
	}
}
