package setup

import (
	"sort"
	"strconv"
	"strings"

	"github.com/go-faster/errors"
)

// ErrBad means that settings were refused. Errors of Load match it; they are
// of type *BadError and list every reason.
var ErrBad = errors.New("setup: bad settings")

// Problem is one reason to refuse settings.
type Problem struct {
	file    string
	line    int
	section string
	key     string
	text    string
}

// Line is the line of the problem from 1; zero if no one line is at fault.
func (p Problem) Line() int { return p.line }

// String writes "file:line: [section] key: reason", without what is not
// known.
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

// BadError is all that is wrong with a settings file.
type BadError struct {
	problems []Problem
}

// Problems are in order of line; those of no line come last.
func (e *BadError) Problems() []Problem { return e.problems }

// Error has a line per problem.
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

// orNil returns e if it has a problem.
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
