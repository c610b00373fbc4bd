package entry_test

import (
	"fmt"
	"net/http"
	"testing"

	"fulmarwick/internal/wire/entry"
)

// BenchmarkStream measures the cost per token of this package alone: the model
// answers immediately and the caller accepts everything.
func BenchmarkStream(b *testing.B) {
	for _, tokens := range []int{100, 2000} {
		b.Run(fmt.Sprintf("tokens=%d", tokens), func(b *testing.B) {
			words := make([]string, tokens)
			for i := range words {
				words[i] = "word "
			}
			s := newServer(&fakeModels{words: words})
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

// BenchmarkSeal measures the cost of encoding a resume token.
func BenchmarkSeal(b *testing.B) {
	sealer := entry.NewSealer(firstKey, 7)
	var dst []byte
	b.ReportAllocs()
	for b.Loop() {
		dst = sealer.Append(dst[:0], entry.Position{})
	}
}

// BenchmarkString measures the cost of encoding a token's text as JSON.
func BenchmarkString(b *testing.B) {
	var dst []byte
	b.ReportAllocs()
	for b.Loop() {
		dst = entry.AppendString(dst[:0], "perkataan \"biasa\"\n")
	}
}
