package setup

import (
	"sort"
	"strconv"
	"strings"

	"github.com/go-faster/errors"
)

// ErrBad is matched by the errors of Load and Parse. These errors are of type
// *BadError and list every problem.
var ErrBad = errors.New("setup: bad settings")

// Problem is one reason why settings are rejected.
type Problem struct {
	file    string
	line    int
	section string
	key     string
	text    string
}

// Line returns the line number of the problem, starting at 1. It is zero if the
// problem does not belong to a single line.
func (p Problem) Line() int { return p.line }

// String returns "file:line: [section] key: reason", without the parts that are
// not known.
func (p Problem) String() string {
	var b strings.Builder
	b.WriteString(p.file)
	if p.line > 0 {
		b.WriteString(":" + strconv.Itoa(p.line))
	}
	b.WriteString(": ")
	if p.section != "" {
		b.WriteString("[" + p.section + "] ")
	}
	if p.key != "" {
		b.WriteString(p.key + ": ")
	}
	b.WriteString(p.text)
	return b.String()
}

// BadError lists all problems of a settings file.
type BadError struct {
	problems []Problem
}

// Problems returns the problems sorted by line. Problems without a line come
// last.
func (e *BadError) Problems() []Problem { return e.problems }

// Error returns one line per problem.
func (e *BadError) Error() string {
	lines := make([]string, 0, len(e.problems))
	for _, p := range e.problems {
		lines = append(lines, p.String())
	}
	return strings.Join(lines, "\n")
}

// Unwrap makes the error match ErrBad.
func (e *BadError) Unwrap() error { return ErrBad }

func (e *BadError) add(p Problem) { e.problems = append(e.problems, p) }

// orNil returns e with its problems sorted, or nil if it has none.
func (e *BadError) orNil() error {
	if len(e.problems) == 0 {
		return nil
	}
	sort.SliceStable(e.problems, func(i, j int) bool {
		a, b := e.problems[i].line, e.problems[j].line
		if a == 0 || b == 0 {
			return a != 0
		}
		return a < b
	})
	return e
}
