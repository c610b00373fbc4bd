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

// sectionChange is a parsed section: an item to store or, if Deleted is set, to
// remove.
type sectionChange struct {
	item item
	file string
}

// parser parses sections and collects all problems.
type parser struct {
	file     string
	changes  []sectionChange
	problems []Problem
}

// parse parses all documents and returns their sections and problems.
func parse(docs []Document) ([]sectionChange, []Problem) {
	p := &parser{}
	for _, d := range docs {
		p.parseDocument(d)
	}
	seen := map[string]string{}
	for _, c := range p.changes {
		if file, ok := seen[c.item.key()]; ok {
			p.file = c.file
			p.addProblem(c.item.sectionName(), "defined twice, first in "+file)
		}
		seen[c.item.key()] = c.file
	}
	return p.changes, p.problems
}

func (p *parser) parseDocument(d Document) {
	p.file = d.File
	opts := ini.LoadOptions{AllowNonUniqueSections: true, AllowShadows: true, SkipUnrecognizableLines: false}
	f, err := ini.LoadSources(opts, d.Data)
	if err != nil {
		p.addProblem("", err.Error())
		return
	}
	for _, s := range f.Sections() {
		p.parseSection(s)
	}
}

func (p *parser) parseSection(s *ini.Section) {
	if s.Name() == ini.DefaultSection {
		for _, k := range s.Keys() {
			p.addProblem("", "key "+k.Name()+" stands before the first section")
		}
		return
	}
	prefix, name, ok := strings.Cut(s.Name(), " ")
	name = strings.TrimSpace(name)
	sort, known := sortByName[prefix]
	switch {
	case !known:
		p.addProblem(s.Name(), "unknown section; want class, team, service or model and a name")
		return
	case !ok || !validName(name):
		p.addProblem(s.Name(), "a name has 1 to 63 small letters, digits, dots and hyphens")
		return
	}
	r := &sectionReader{parser: p, section: s, used: map[string]bool{}}
	i := item{Sort: sort, Name: name, Deleted: r.boolValue("remove")}
	if !i.Deleted {
		r.readItem(&i)
	}
	r.reportUnknownKeys()
	p.changes = append(p.changes, sectionChange{item: i, file: p.file})
}

var sortByName = map[string]ItemKind{"class": ItemClass, "team": ItemTeam, "service": ItemService, "model": ItemModel}

func (p *parser) addProblem(section, reason string) {
	p.problems = append(p.problems, Problem{File: p.file, Section: section, Reason: reason})
}

// sectionReader reads the keys of one section.
type sectionReader struct {
	*parser
	section *ini.Section
	used    map[string]bool
}

func (r *sectionReader) readItem(i *item) {
	switch i.Sort {
	case ItemClass:
		r.readClass(i)
	case ItemTeam:
		i.KeyHash = strings.ToLower(r.stringValue("key-hash"))
		i.Share = r.numberValue("share", 1)
		i.RateLimit = r.numberValue("limit", 0)
	case ItemService:
		i.Outcomes = r.boolValue("outcomes")
	case ItemModel:
		i.DefaultClass = r.stringValue("default")
	}
}

func (r *sectionReader) readClass(i *item) {
	switch kind := r.stringValue("kind"); kind {
	case spec.KindModel.String():
		i.Kind = spec.KindModel
	case spec.KindPlain.String():
		i.Kind = spec.KindPlain
	default:
		r.addKeyProblem("kind", "is model or plain")
	}
	i.Model = r.stringValue("model")
	i.Service = r.stringValue("service")
	i.Repeatable = r.boolValue("repeatable")
	i.FirstEvent = r.durationValue("first")
	i.Gap = r.durationValue("gap")
	i.TotalTime = r.durationValue("whole")
	i.Percent = r.numberValue("percent", 95)
	i.Reliability = r.numberValue("reliability", 0)
	i.Teams = strings.Fields(strings.ReplaceAll(r.stringValue("teams"), ",", " "))
}

func (r *sectionReader) stringValue(key string) string {
	r.used[key] = true
	if !r.section.HasKey(key) {
		return ""
	}
	k := r.section.Key(key)
	if len(k.ValueWithShadows()) > 1 {
		r.addKeyProblem(key, "is given twice")
	}
	return strings.TrimSpace(k.String())
}

func (r *sectionReader) boolValue(key string) bool {
	switch r.stringValue(key) {
	case "yes", "true":
		return true
	case "", "no", "false":
		return false
	}
	r.addKeyProblem(key, "is yes or no")
	return false
}

func (r *sectionReader) durationValue(key string) time.Duration {
	text := r.stringValue(key)
	if text == "" {
		return 0
	}
	d, err := time.ParseDuration(text)
	if err != nil || d <= 0 {
		r.addKeyProblem(key, "is a time above zero such as 770ms")
		return 0
	}
	return d
}

func (r *sectionReader) numberValue(key string, defaultValue float64) float64 {
	if r.stringValue(key) == "" {
		return defaultValue
	}
	v, err := r.section.Key(key).Float64()
	if err != nil || v != v || v < 0 || v > maxNumber {
		r.addKeyProblem(key, "is a number from 0 to 1e12")
		return defaultValue
	}
	return v
}

const maxNumber = 1e12

func (r *sectionReader) addKeyProblem(key, reason string) {
	r.addProblem(r.section.Name(), key+" "+reason)
}

// reportUnknownKeys reports all keys that were not read. A section that removes an item
// may have no key but remove.
func (r *sectionReader) reportUnknownKeys() {
	for _, k := range r.section.Keys() {
		if !r.used[k.Name()] {
			r.addKeyProblem(k.Name(), "is not a key of this section")
		}
	}
}

func (i *item) sectionName() string { return i.Sort.String() + " " + i.Name }

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

// validExternalName reports whether the name of a model or service, which is defined
// elsewhere, can be written in a document without quoting.
func validExternalName(name string) bool {
	if len(name) > 127 {
		return false
	}
	for _, c := range name {
		lower := c >= 'a' && c <= 'z'
		upper := c >= 'A' && c <= 'Z'
		digit := c >= '0' && c <= '9'
		if !lower && !upper && !digit && !strings.ContainsRune("-._:/", c) {
			return false
		}
	}
	return true
}
