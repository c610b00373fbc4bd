// Package drive runs a workload against a router and reports the results that
// its callers observe.
//
// It imports the INI and chart libraries and the platform's stand-in, which
// defines the format of requests. The load command and the measurements of the
// stand-in use it, on a real or a virtual clock.
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

// ErrInvalidWorkload is returned for an invalid workload. The message lists all problems.
var ErrInvalidWorkload = errors.New("drive: invalid workload")

// Workload is a workload: the requests to send and the faults to inject.
type Workload struct {
	// Duration is how long requests are sent.
	Duration time.Duration
	// Instances is the number of router instances that a stand-in starts.
	Instances int
	// Seed determines the times at which requests are sent.
	Seed    uint64
	Classes []Class
	Bursts  []Burst
	Faults  []Fault
}

// Class describes requests of one kind.
type Class struct {
	Name   string
	Method string
	// Key is the API key of the team that sends the requests.
	Key  string
	Path string
	// Rate is the number of requests per second.
	Rate float64
	// Prompt and Answer are numbers of tokens. Both are zero for a plain call.
	Prompt int
	Answer int
	// Target is the maximum time to the first event, or to an answer without
	// events.
	Target time.Duration
	// Gap is the maximum time between events.
	Gap      time.Duration
	Deadline time.Duration
	// LateValue is the value of an answer outside its target. An answer within its
	// target has the value 1.
	LateValue float64
	// Retries is how often a caller repeats a refused request.
	Retries int
}

// Burst multiplies request rates by Factor for the duration For.
type Burst struct {
	At     time.Duration
	For    time.Duration
	Factor float64
	// Class is the class whose rate changes; empty means all classes.
	Class string
}

// Fault is a fault to inject at time At.
type Fault struct {
	At   time.Duration
	Kind Kind
	// Count is the number of affected engines.
	Count int
	// Factor is the factor by which the engines or the pipes slow down.
	Factor float64
	// Zone is the data centre that fails.
	Zone string
}

// Kind is a kind of fault.
type Kind string

// The kinds of faults.
const (
	KindCrash Kind = "crash"
	KindHang  Kind = "dark"
	KindDrain Kind = "drain"
	KindSlow  Kind = "slow"
	KindZone  Kind = "zone"
	KindPipe  Kind = "pipe"
)

var kinds = []Kind{KindCrash, KindHang, KindDrain, KindSlow, KindZone, KindPipe}

// Parse reads a workload in INI form.
func Parse(data []byte) (Workload, error) {
	file, err := ini.Load(data)
	if err != nil {
		return Workload{}, errors.Wrap(ErrInvalidWorkload, err.Error())
	}
	p := &parser{work: Workload{Duration: 30 * time.Second, Instances: 4, Seed: 1}}
	for _, s := range file.Sections() {
		p.section(s)
	}
	p.checkReferences()
	if len(p.problems) > 0 {
		return Workload{}, errors.Wrap(ErrInvalidWorkload, strings.Join(p.problems, "; "))
	}
	return p.work, nil
}

// parser collects a workload and all problems of its file.
type parser struct {
	work     Workload
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
		p.work.Duration = p.duration(s, "seconds", p.work.Duration, time.Second)
		p.work.Instances = int(p.number(s, "instances", 4, 1, 64))
		p.work.Seed = uint64(p.number(s, "seed", 1, 0, 1e9))
	case "class":
		p.class(s, name)
	case "burst":
		p.checkKeys(s, "at", "for", "times", "class")
		p.work.Bursts = append(p.work.Bursts, Burst{
			At: p.duration(s, "at", 0, 0), For: p.duration(s, "for", time.Second, time.Millisecond),
			Factor: p.number(s, "times", 2, 0, 100), Class: s.Key("class").String(),
		})
	case "fault":
		p.checkKeys(s, "at", "kind", "count", "times", "zone")
		p.work.Faults = append(p.work.Faults, Fault{
			At: p.duration(s, "at", 0, 0), Kind: Kind(s.Key("kind").String()), Count: int(p.number(s, "count", 1, 1, 1000)),
			Factor: p.number(s, "times", 3, 1, 1000), Zone: s.Key("zone").String(),
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
		Deadline:  p.duration(s, "deadline", 20*time.Second, time.Millisecond),
		LateValue: p.number(s, "late", 0.5, 0, 1), Retries: int(p.number(s, "retries", 1, 0, 10)),
	}
	if name == "" {
		p.addProblem("[class] has no name")
	}
	if !strings.HasPrefix(c.Path, "/") {
		p.addProblem("[%s] path: %q does not begin with a slash", s.Name(), c.Path)
	}
	p.work.Classes = append(p.work.Classes, c)
}

// checkReferences checks what involves several sections: that a class exists,
// that names are unique and that bursts refer to existing classes. It also
// checks the kinds of faults.
func (p *parser) checkReferences() {
	if len(p.work.Classes) == 0 {
		p.addProblem("no section [class NAME]")
	}
	names := map[string]bool{}
	for _, class := range p.work.Classes {
		if names[class.Name] {
			p.addProblem("class %q is defined twice", class.Name)
		}
		names[class.Name] = true
	}
	for _, burst := range p.work.Bursts {
		if burst.Class != "" && !names[burst.Class] {
			p.addProblem("burst refers to class %q, which is not defined", burst.Class)
		}
	}
	for _, fault := range p.work.Faults {
		if !slices.Contains(kinds, fault.Kind) {
			p.addProblem("fault of kind %q is unknown; known kinds are %v", fault.Kind, kinds)
		}
		if fault.Kind == KindZone && fault.Zone == "" {
			p.addProblem("fault of kind zone has no zone")
		}
	}
}

// checkKeys reports unknown keys of a section.
func (p *parser) checkKeys(s *ini.Section, names ...string) {
	for _, key := range s.KeyStrings() {
		if !slices.Contains(names, key) {
			p.addProblem("[%s] %s is not known", s.Name(), key)
		}
	}
}

// number reads a number between least and most. It returns the default if the
// key is missing or invalid.
func (p *parser) number(s *ini.Section, key string, defaultValue, minimum, maximum float64) float64 {
	if !s.HasKey(key) {
		return defaultValue
	}
	value, err := s.Key(key).Float64()
	if err != nil || value < minimum || value > maximum {
		p.addProblem("[%s] %s: %q is not a number from %g to %g", s.Name(), key, s.Key(key).String(), minimum, maximum)
		return defaultValue
	}
	return value
}

// maxDuration is the longest duration allowed in a workload.
const maxDuration = time.Hour

// duration reads a duration such as 200ms. A number without a unit is in
// seconds.
func (p *parser) duration(s *ini.Section, key string, defaultValue, minimum time.Duration) time.Duration {
	if !s.HasKey(key) {
		return defaultValue
	}
	text := s.Key(key).String()
	d, err := time.ParseDuration(text)
	if err != nil {
		d, err = time.ParseDuration(text + "s")
	}
	if err != nil || d < minimum || d > maxDuration {
		p.addProblem("[%s] %s: %q is not a duration from %s to %s", s.Name(), key, text, minimum, maxDuration)
		return defaultValue
	}
	return d
}
