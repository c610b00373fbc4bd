package config

import (
	"strings"
	"time"

	"fulmarwick/internal/base/spec"

	"gopkg.in/ini.v1"
)

// Document is one INI file of classes, teams, services and models.
type Document struct {
	File string
	Data []byte
}

// change is a parsed section: an item to put or, with Gone, to remove.
type change struct {
	item item
	file string
}

// parser reads sections and collects every problem.
type parser struct {
	file     string
	changes  []change
	problems []Problem
}

// parse reads all documents.
func parse(docs []Document) ([]change, []Problem) {
	p := &parser{}
	for _, d := range docs {
		p.document(d)
	}
	seen := map[string]string{}
	for _, c := range p.changes {
		if file, ok := seen[c.item.key()]; ok {
			p.file = c.file
			p.problem(c.item.section(), "defined twice, first in "+file)
		}
		seen[c.item.key()] = c.file
	}
	return p.changes, p.problems
}

func (p *parser) document(d Document) {
	p.file = d.File
	opts := ini.LoadOptions{AllowNonUniqueSections: true, AllowShadows: true, SkipUnrecognizableLines: false}
	f, err := ini.LoadSources(opts, d.Data)
	if err != nil {
		p.problem("", err.Error())
		return
	}
	for _, s := range f.Sections() {
		p.section(s)
	}
}

func (p *parser) section(s *ini.Section) {
	if s.Name() == ini.DefaultSection {
		for _, k := range s.Keys() {
			p.problem("", "key "+k.Name()+" stands before the first section")
		}
		return
	}
	word, name, ok := strings.Cut(s.Name(), " ")
	name = strings.TrimSpace(name)
	sort, known := sorts[word]
	switch {
	case !known:
		p.problem(s.Name(), "unknown section; want class, team, service or model and a name")
		return
	case !ok || !validName(name):
		p.problem(s.Name(), "a name has 1 to 63 small letters, digits, dots and hyphens")
		return
	}
	r := &reader{parser: p, section: s, used: map[string]bool{}}
	i := item{Sort: sort, Name: name, Gone: r.yes("remove")}
	if !i.Gone {
		r.item(&i)
	}
	r.unknown()
	p.changes = append(p.changes, change{item: i, file: p.file})
}

var sorts = map[string]Sort{"class": SortClass, "team": SortTeam, "service": SortService, "model": SortModel}

func (p *parser) problem(section, reason string) {
	p.problems = append(p.problems, Problem{File: p.file, Section: section, Reason: reason})
}

// reader reads the keys of one section.
type reader struct {
	*parser
	section *ini.Section
	used    map[string]bool
}

func (r *reader) item(i *item) {
	switch i.Sort {
	case SortClass:
		r.class(i)
	case SortTeam:
		i.Hash = strings.ToLower(r.text("key-hash"))
		i.Share = r.number("share", 1)
		i.Limit = r.number("limit", 0)
	case SortService:
		i.Asks = r.yes("outcomes")
	case SortModel:
		i.Default = r.text("default")
	}
}

func (r *reader) class(i *item) {
	switch kind := r.text("kind"); kind {
	case spec.KindModel.String():
		i.Kind = spec.KindModel
	case spec.KindPlain.String():
		i.Kind = spec.KindPlain
	default:
		r.bad("kind", "is model or plain")
	}
	i.Model = r.text("model")
	i.Service = r.text("service")
	i.Repeats = r.yes("repeatable")
	i.First = r.duration("first")
	i.Gap = r.duration("gap")
	i.Whole = r.duration("whole")
	i.Percent = r.number("percent", 95)
	i.Reliability = r.number("reliability", 0)
	i.Teams = strings.Fields(strings.ReplaceAll(r.text("teams"), ",", " "))
}

func (r *reader) text(key string) string {
	r.used[key] = true
	if !r.section.HasKey(key) {
		return ""
	}
	k := r.section.Key(key)
	if len(k.ValueWithShadows()) > 1 {
		r.bad(key, "is given twice")
	}
	return strings.TrimSpace(k.String())
}

func (r *reader) yes(key string) bool {
	switch r.text(key) {
	case "yes", "true":
		return true
	case "", "no", "false":
		return false
	}
	r.bad(key, "is yes or no")
	return false
}

func (r *reader) duration(key string) time.Duration {
	text := r.text(key)
	if text == "" {
		return 0
	}
	d, err := time.ParseDuration(text)
	if err != nil || d <= 0 {
		r.bad(key, "is a time above zero such as 770ms")
		return 0
	}
	return d
}

func (r *reader) number(key string, otherwise float64) float64 {
	if r.text(key) == "" {
		return otherwise
	}
	v, err := r.section.Key(key).Float64()
	if err != nil || v != v || v < 0 || v > maxNumber {
		r.bad(key, "is a number from 0 to 1e12")
		return otherwise
	}
	return v
}

const maxNumber = 1e12

func (r *reader) bad(key, reason string) { r.problem(r.section.Name(), key+" "+reason) }

// unknown reports keys that nobody read; a removal reads no other.
func (r *reader) unknown() {
	for _, k := range r.section.Keys() {
		if !r.used[k.Name()] {
			r.bad(k.Name(), "is not a key of this section")
		}
	}
}

func (i *item) section() string { return i.Sort.String() + " " + i.Name }

func validName(name string) bool {
	if name == "" || len(name) > 63 {
		return false
	}
	for _, c := range name {
		if (c < 'a' || c > 'z') && (c < '0' || c > '9') && c != '-' && c != '.' {
			return false
		}
	}
	return true
}

// validOther reports whether a name that others gave can be written in a
// document as it is.
func validOther(name string) bool {
	if len(name) > 127 {
		return false
	}
	for _, c := range name {
		small := c >= 'a' && c <= 'z'
		large := c >= 'A' && c <= 'Z'
		digit := c >= '0' && c <= '9'
		if !small && !large && !digit && !strings.ContainsRune("-._:/", c) {
			return false
		}
	}
	return true
}
