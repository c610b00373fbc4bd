package config

import (
	"encoding/hex"
	"fmt"

	"fulmarwick/internal/base/spec"
)

// hashBytes is the length of a key's hash.
const hashBytes = 32

// checker checks the items that would be in force after a change, and collects
// every problem. Problems of items that the change leaves alone are reported
// too when the change causes them, such as a class that names a removed team.
type checker struct {
	next     *state
	files    map[string]string
	problems []Problem
	// alone is set when what is in force is not known, so that names which
	// the documents do not define may be.
	alone bool
}

// check reports the problems of next, in which changes were put.
func check(next *state, changes []change, uses func(team string) (string, bool)) []Problem {
	return (&checker{next: next}).run(changes, uses)
}

func (c *checker) run(changes []change, uses func(team string) (string, bool)) []Problem {
	c.files = map[string]string{}
	for _, ch := range changes {
		c.files[ch.item.key()] = ch.file
		if ch.item.Gone {
			c.removal(&ch.item, uses)
		}
	}
	hashes := map[string]string{}
	for _, i := range c.next.items() {
		c.item(i)
		if i.Sort != SortTeam {
			continue
		}
		if other, ok := hashes[i.Hash]; ok {
			c.problem(i, "has the key of team "+other)
		}
		hashes[i.Hash] = i.Name
	}
	return c.problems
}

func (c *checker) removal(i *item, uses func(team string) (string, bool)) {
	if _, ok := c.next.rows[i.key()]; !ok && !c.alone {
		c.problem(i, fmt.Sprintf("unknown %s cannot be removed", i.Sort))
	}
	if i.Sort != SortTeam || uses == nil {
		return
	}
	if why, used := uses(i.Name); used {
		c.problem(i, "team is in use: "+why)
	}
}

func (c *checker) item(i *item) {
	switch i.Sort {
	case SortClass:
		c.class(i)
	case SortTeam:
		c.team(i)
	case SortModel:
		c.model(i)
	}
}

func (c *checker) class(i *item) {
	c.upstream(i)
	c.target(i)
	for _, name := range i.Teams {
		h, known := c.next.rows[rowKey(SortTeam, name)]
		switch {
		case !known && !c.alone:
			c.problem(i, "names the unknown team "+name)
		case known && h.item.Gone:
			c.problem(i, "uses team "+name+", which is removed")
		}
	}
}

func (c *checker) upstream(i *item) {
	if !validOther(i.Model) || !validOther(i.Service) {
		c.problem(i, "a model or service has up to 127 letters, digits and any of - . _ : /")
	}
	if i.Kind == spec.KindPlain {
		c.plain(i)
		return
	}
	if i.Model == "" {
		c.problem(i, "model is missing")
	}
	if i.Service != "" {
		c.problem(i, "a model class has no service")
	}
}

func (c *checker) plain(i *item) {
	if i.Service == "" {
		c.problem(i, "service is missing")
	}
	if i.Model != "" {
		c.problem(i, "a plain class has no model")
	}
	if i.First > 0 || i.Gap > 0 {
		c.problem(i, "a plain class has a target for the whole answer only")
	}
}

func (c *checker) target(i *item) {
	switch {
	case i.First == 0 && i.Gap == 0 && i.Whole == 0:
		c.problem(i, "has no target; want one of first, gap and whole")
	case i.Whole > 0 && i.Gap > i.Whole:
		c.problem(i, fmt.Sprintf("impossible target: gap %s is longer than whole %s", i.Gap, i.Whole))
	case i.Whole > 0 && i.First > i.Whole:
		c.problem(i, fmt.Sprintf("impossible target: first %s is longer than whole %s", i.First, i.Whole))
	}
	if i.Percent <= 0 || i.Percent > 100 {
		c.problem(i, fmt.Sprintf("impossible target: percent is %g, want above 0 and at most 100", i.Percent))
	}
	if i.Reliability > 100 {
		c.problem(i, fmt.Sprintf("impossible target: reliability is %g, want at most 100", i.Reliability))
	}
}

func (c *checker) team(i *item) {
	if raw, err := hex.DecodeString(i.Hash); err != nil || len(raw) != hashBytes {
		c.problem(i, "key-hash is the SHA-256 of the team's key in 64 hex digits")
	}
	if i.Share <= 0 {
		c.problem(i, "share must be above 0")
	}
}

func (c *checker) model(i *item) {
	if i.Default == "" {
		return
	}
	class, ok := c.next.item(SortClass, i.Default)
	switch {
	case !ok && c.alone:
	case !ok:
		c.problem(i, "default names the unknown class "+i.Default)
	case class.Kind != spec.KindModel || class.Model != i.Name:
		c.problem(i, "default names class "+i.Default+", which is not of this model")
	}
}

func (c *checker) problem(i *item, reason string) {
	file, ok := c.files[i.key()]
	if !ok {
		file = "in force"
	}
	c.problems = append(c.problems, Problem{File: file, Section: i.section(), Reason: reason})
}
