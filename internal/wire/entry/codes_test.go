package entry_test

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"fulmarwick/internal/route/domain"
)

// Every fault code in the sources of this package must be documented in
// docs/CALLERS.md. Otherwise a caller that gets the code does not know what to do.
func TestEveryCodeIsDocumented(t *testing.T) {
	page, err := os.ReadFile("../../../docs/CALLERS.md")
	if err != nil {
		t.Fatal(err)
	}
	files, err := filepath.Glob("*.go")
	if err != nil {
		t.Fatal(err)
	}
	codePattern := regexp.MustCompile(`(?:newFault\([^"]*|badField\()"([a-z-]+)"`)
	codes := map[string]bool{}
	for _, f := range files {
		if strings.HasSuffix(f, "_test.go") {
			continue
		}
		data, err := os.ReadFile(f)
		if err != nil {
			t.Fatal(err)
		}
		for _, m := range codePattern.FindAllStringSubmatch(string(data), -1) {
			codes[m[1]] = true
		}
	}
	for r := domain.ReasonOverload; r <= domain.ReasonNotReady; r++ {
		codes[r.String()] = true
	}
	if len(codes) < 20 {
		t.Fatalf("got %d codes from the sources, want at least 20", len(codes))
	}
	for code := range codes {
		if !strings.Contains(string(page), "`"+code+"`") {
			t.Errorf("code %s is missing in docs/CALLERS.md", code)
		}
	}
}
