// Package drive puts a workload on a router and tells what its callers got.
//
// It imports the INI and chart libraries and the platform's stand-in, which
// knows how requests are written. The load command and the measurements of the
// stand-in use it, on a real clock or on a virtual one.
package drive

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"fulmarwick/platform/stand"

	"github.com/go-faster/errors"
	"gopkg.in/ini.v1"
)

// ErrWork means that a workload cannot be played; the text names all faults.
var ErrWork = errors.New("drive: workload refused")

// Work is a workload: who asks for what, and what goes wrong meanwhile.
type Work struct {
	// Span is how long requests are sent, Instances how many routers stand-ins
	// get.
	Span      time.Duration
	Instances int
	// Seed makes the times of requests repeatable.
	Seed    uint64
	Classes []Class
	Bursts  []Burst
	Faults  []Fault
}

// Class is one kind of request.
type Class struct {
	Name   string
	Method string
	// Key is that of the team that asks.
	Key  string
	Path string
	// Rate is requests a second.
	Rate float64
	// Prompt and Answer are tokens; both are zero for a plain call.
	Prompt int
	Answer int
	// Target bounds the time to the first event or to the answer, Gap the
	// pause between events.
	Target   time.Duration
	Gap      time.Duration
	Deadline time.Duration
	// Late is the worth of an answer outside its target; one inside it is 1.
	Late float64
	// Retries is how often a caller that was refused comes back.
	Retries int
}

// Burst multiplies rates for a while.
type Burst struct {
	At    time.Duration
	For   time.Duration
	Times float64
	// Class is whose rate it is; empty for all.
	Class string
}

// Fault is something that goes wrong at a moment.
type Fault struct {
	At   time.Duration
	Kind Kind
	// Count is how many engines it meets, Times how much slower they or the
	// pipes get.
	Count int
	Times float64
	// Zone is the data centre that is lost.
	Zone string
}

// Kind is a kind of fault.
type Kind string

// The kinds of faults.
const (
	KindCrash Kind = "crash"
	KindDark  Kind = "dark"
	KindDrain Kind = "drain"
	KindSlow  Kind = "slow"
	KindZone  Kind = "zone"
	KindPipe  Kind = "pipe"
)

var kinds = []Kind{KindCrash, KindDark, KindDrain, KindSlow, KindZone, KindPipe}

// Parse reads a workload in INI form.
func Parse(data []byte) (Work, error) {
	file, err := ini.Load(data)
	if err != nil {
		return Work{}, errors.Wrap(ErrWork, err.Error())
	}
	p := &parser{work: Work{Span: 30 * time.Second, Instances: 4, Seed: 1}}
	for _, s := range file.Sections() {
		p.section(s)
	}
	p.checkReferences()
	if len(p.problems) > 0 {
		return Work{}, errors.Wrap(ErrWork, strings.Join(p.problems, "; "))
	}
	return p.work, nil
}

// parser gathers a workload and everything wrong with its file.
type parser struct {
	work     Work
	problems []string
}

func (p *parser) addProblem(format string, args ...any) {
	p.problems = append(p.problems, fmt.Sprintf(format, args...))
}

func (p *parser) section(s *ini.Section) {
	kind, name, _ := strings.Cut(s.Name(), " ")
	switch kind {
	case ini.DefaultSection:
		p.checkKeys(s)
	case "load":
		p.checkKeys(s, "seconds", "instances", "seed")
		p.work.Span = p.duration(s, "seconds", p.work.Span, time.Second)
		p.work.Instances = int(p.number(s, "instances", 4, 1, 64))
		p.work.Seed = uint64(p.number(s, "seed", 1, 0, 1e9))
	case "class":
		p.class(s, name)
	case "burst":
		p.checkKeys(s, "at", "for", "times", "class")
		p.work.Bursts = append(p.work.Bursts, Burst{
			At: p.duration(s, "at", 0, 0), For: p.duration(s, "for", time.Second, time.Millisecond),
			Times: p.number(s, "times", 2, 0, 100), Class: s.Key("class").String(),
		})
	case "fault":
		p.checkKeys(s, "at", "kind", "count", "times", "zone")
		p.work.Faults = append(p.work.Faults, Fault{
			At: p.duration(s, "at", 0, 0), Kind: Kind(s.Key("kind").String()), Count: int(p.number(s, "count", 1, 1, 1000)),
			Times: p.number(s, "times", 3, 1, 1000), Zone: s.Key("zone").String(),
		})
	default:
		p.addProblem("section [%s] is not known", s.Name())
	}
}

func (p *parser) class(s *ini.Section, name string) {
	p.checkKeys(s, "rate", "method", "path", "prompt", "answer", "target", "gap", "deadline", "late", "retries", "key")
	c := Class{
		Name: name, Method: s.Key("method").MustString("POST"), Key: s.Key("key").MustString(stand.TeamKey(1)), Path: s.Key("path").String(), Rate: p.number(s, "rate", 1, 0, 1e5),
		Prompt: int(p.number(s, "prompt", 0, 0, 1e6)), Answer: int(p.number(s, "answer", 0, 0, 1e6)),
		Target: p.duration(s, "target", 500*time.Millisecond, time.Millisecond), Gap: p.duration(s, "gap", 200*time.Millisecond, time.Millisecond),
		Deadline: p.duration(s, "deadline", 20*time.Second, time.Millisecond),
		Late:     p.number(s, "late", 0.5, 0, 1), Retries: int(p.number(s, "retries", 1, 0, 10)),
	}
	if name == "" {
		p.addProblem("[class] has no name")
	}
	if !strings.HasPrefix(c.Path, "/") {
		p.addProblem("[%s] path: %q does not begin with a slash", s.Name(), c.Path)
	}
	p.work.Classes = append(p.work.Classes, c)
}

// checkReferences checks what no section shows alone.
func (p *parser) checkReferences() {
	if len(p.work.Classes) == 0 {
		p.addProblem("no [class NAME]")
	}
	names := map[string]bool{}
	for _, c := range p.work.Classes {
		if names[c.Name] {
			p.addProblem("class %q stands twice", c.Name)
		}
		names[c.Name] = true
	}
	for _, b := range p.work.Bursts {
		if b.Class != "" && !names[b.Class] {
			p.addProblem("burst of class %q, which is not there", b.Class)
		}
	}
	for _, f := range p.work.Faults {
		if !slices.Contains(kinds, f.Kind) {
			p.addProblem("fault of kind %q; known are %v", f.Kind, kinds)
		}
		if f.Kind == KindZone && f.Zone == "" {
			p.addProblem("fault of kind zone without a zone")
		}
	}
}

// checkKeys faults keys that a section does not have.
func (p *parser) checkKeys(s *ini.Section, names ...string) {
	for _, k := range s.KeyStrings() {
		if !slices.Contains(names, k) {
			p.addProblem("[%s] %s is not known", s.Name(), k)
		}
	}
}

func (p *parser) number(s *ini.Section, key string, usual, least, most float64) float64 {
	if !s.HasKey(key) {
		return usual
	}
	v, err := s.Key(key).Float64()
	if err != nil || v < least || v > most {
		p.addProblem("[%s] %s: %q is not a number from %g to %g", s.Name(), key, s.Key(key).String(), least, most)
		return usual
	}
	return v
}

// maxDuration is the longest time that a workload may name.
const maxDuration = time.Hour

// duration reads a duration such as 200ms; a bare number is seconds.
func (p *parser) duration(s *ini.Section, key string, usual, least time.Duration) time.Duration {
	if !s.HasKey(key) {
		return usual
	}
	text := s.Key(key).String()
	d, err := time.ParseDuration(text)
	if err != nil {
		d, err = time.ParseDuration(text + "s")
	}
	if err != nil || d < least || d > maxDuration {
		p.addProblem("[%s] %s: %q is not a time from %s to %s", s.Name(), key, text, least, maxDuration)
		return usual
	}
	return d
}
