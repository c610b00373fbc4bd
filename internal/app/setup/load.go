package setup

import (
	"io"
	"os"
	"path/filepath"
	"strconv"

	"github.com/go-faster/errors"
	"gopkg.in/ini.v1"
)

// maxFile is the maximum size of a settings file in bytes.
const maxFile = 1 << 20

// Load reads and checks the settings file at path. Paths in the file are
// relative to its directory. The error matches ErrBad and lists every problem.
func Load(path string) (Settings, error) {
	return load(path, true)
}

// LoadWithoutFiles is like Load for a settings file of another machine: the files
// that it names need not exist on this machine.
func LoadWithoutFiles(path string) (Settings, error) {
	return load(path, false)
}

func load(path string, files bool) (Settings, error) {
	data, err := readFile(path)
	if err != nil {
		bad := &BadError{}
		bad.add(Problem{file: path, text: err.Error()})
		return Settings{}, bad.orNil()
	}
	p := &parser{name: path, dir: filepath.Dir(path), checkFiles: files}
	return p.parse(data)
}

// Parse checks settings held in memory. Problems use name as the file name.
// Parse does not open the files that the settings name.
func Parse(name string, data []byte) (Settings, error) {
	p := &parser{name: name}
	return p.parse(data)
}

func readFile(path string) ([]byte, error) {
	f, err := os.Open(path)
	if err != nil {
		var pe *os.PathError
		if errors.As(err, &pe) {
			err = pe.Err
		}
		return nil, errors.Wrap(err, "cannot be read")
	}
	defer func() { _ = f.Close() }()
	data, err := io.ReadAll(io.LimitReader(f, maxFile+1))
	if err != nil {
		return nil, errors.Wrap(err, "cannot be read")
	}
	if len(data) > maxFile {
		return nil, errors.New("is larger than 1 MiB")
	}
	return data, nil
}

// parser holds the state of parsing one file.
type parser struct {
	name       string
	dir        string
	checkFiles bool
	out        Settings
	bad        BadError
	lines      map[keyPos]int
}

func (p *parser) parse(data []byte) (Settings, error) {
	p.out = Default()
	at := scan(p.name, data, &p.bad)
	values, err := ini.LoadSources(ini.LoadOptions{
		IgnoreContinuation: true, IgnoreInlineComment: true,
		SkipUnrecognizableLines: true, KeyValueDelimiters: "=", AllowShadows: true,
	}, data)
	if err != nil {
		p.bad.add(Problem{file: p.name, text: err.Error()})
		return Settings{}, p.bad.orNil()
	}
	p.lines = map[keyPos]int{}
	p.checkUnknown(at)
	for _, e := range at.entries {
		p.set(e, values.Section(e.section).Key(e.key).Value())
	}
	p.checkMissing(at)
	p.checkTogether()
	if err := p.bad.orNil(); err != nil {
		return Settings{}, err
	}
	return p.out, nil
}

// checkUnknown reports unknown sections.
func (p *parser) checkUnknown(at layout) {
	for name, line := range at.sections {
		if findSection(name) == nil {
			p.bad.add(Problem{file: p.name, line: line, section: name, text: "no such section"})
		}
	}
}

func (p *parser) set(e keyPos, value string) {
	section := findSection(e.section)
	if section == nil {
		return
	}
	line := e.line
	e.line = 0
	p.lines[e] = line
	at := Problem{file: p.name, line: line, section: e.section, key: e.key}
	set := section.setter(e.key)
	if set == nil {
		at.text = "no such key"
		p.bad.add(at)
		return
	}
	if reason := set(p, value); reason != "" {
		at.text = reason
		p.bad.add(at)
	}
}

// checkMissing reports required keys that are missing. The required keys of an
// optional section are checked only if the section is present.
func (p *parser) checkMissing(at layout) {
	for _, s := range sections {
		if s.optional && at.sections[s.name] == 0 {
			continue
		}
		for _, k := range s.keys {
			e := keyPos{section: s.name, key: k.name}
			if k.required && p.lines[e] == 0 {
				p.bad.add(Problem{file: p.name, line: at.sections[s.name], section: s.name, key: k.name, text: "missing"})
			}
		}
	}
}

// addProblem adds a problem of a key, which need not be present in the file.
func (p *parser) addProblem(section, key, text string) {
	line := p.lines[keyPos{section: section, key: key}]
	p.bad.add(Problem{file: p.name, line: line, section: section, key: key, text: text})
}

func itoa(n int) string { return strconv.Itoa(n) }
