package config

import (
	"encoding/hex"
	"fmt"

	"fulmarwick/internal/base/spec"
)

// keyHashBytes is the length of the SHA-256 hash of a key.
const keyHashBytes = 32

// checker checks the items that would be active after a change and collects all
// problems. This includes problems that the change causes in other items, such as a
// class that names a removed team.
type checker struct {
	proposed *state
	files    map[string]string
	problems []Problem
	// offline is set if the active configuration is not known. Names that the
	// documents do not define may then exist there.
	offline bool
}

// check returns the problems of next, the state after the changes.
func check(next *state, changes []sectionChange, uses func(team string) (string, bool)) []Problem {
	return (&checker{proposed: next}).run(changes, uses)
}

func (c *checker) run(changes []sectionChange, uses func(team string) (string, bool)) []Problem {
	c.files = map[string]string{}
	for _, ch := range changes {
		c.files[ch.item.key()] = ch.file
		if ch.item.Deleted {
			c.checkRemoval(&ch.item, uses)
		}
	}
	hashes := map[string]string{}
	for _, i := range c.proposed.items() {
		c.checkItem(i)
		if i.Sort != ItemTeam {
			continue
		}
		if other, ok := hashes[i.KeyHash]; ok {
			c.addProblem(i, "has the key of team "+other)
		}
		hashes[i.KeyHash] = i.Name
	}
	return c.problems
}

func (c *checker) checkRemoval(i *item, uses func(team string) (string, bool)) {
	if _, ok := c.proposed.rows[i.key()]; !ok && !c.offline {
		c.addProblem(i, fmt.Sprintf("unknown %s cannot be removed", i.Sort))
	}
	if i.Sort != ItemTeam || uses == nil {
		return
	}
	if reason, used := uses(i.Name); used {
		c.addProblem(i, "team is in use: "+reason)
	}
}

func (c *checker) checkItem(i *item) {
	switch i.Sort {
	case ItemClass:
		c.checkClass(i)
	case ItemTeam:
		c.checkTeam(i)
	case ItemModel:
		c.checkModel(i)
	}
}

func (c *checker) checkClass(i *item) {
	c.checkUpstream(i)
	c.checkTarget(i)
	for _, name := range i.Teams {
		h, known := c.proposed.rows[rowKey(ItemTeam, name)]
		switch {
		case !known && !c.offline:
			c.addProblem(i, "names the unknown team "+name)
		case known && h.item.Deleted:
			c.addProblem(i, "uses team "+name+", which is removed")
		}
	}
}

func (c *checker) checkUpstream(i *item) {
	if !validExternalName(i.Model) || !validExternalName(i.Service) {
		c.addProblem(i, "a model or service has up to 127 letters, digits and any of - . _ : /")
	}
	if i.Kind == spec.KindPlain {
		c.checkPlain(i)
		return
	}
	if i.Model == "" {
		c.addProblem(i, "model is missing")
	}
	if i.Service != "" {
		c.addProblem(i, "a model class has no service")
	}
}

func (c *checker) checkPlain(i *item) {
	if i.Service == "" {
		c.addProblem(i, "service is missing")
	}
	if i.Model != "" {
		c.addProblem(i, "a plain class has no model")
	}
	if i.FirstEvent > 0 || i.Gap > 0 {
		c.addProblem(i, "a plain class has a target for the whole answer only")
	}
}

func (c *checker) checkTarget(i *item) {
	switch {
	case i.FirstEvent == 0 && i.Gap == 0 && i.TotalTime == 0:
		c.addProblem(i, "has no target; want one of first, gap and whole")
	case i.TotalTime > 0 && i.Gap > i.TotalTime:
		c.addProblem(i, fmt.Sprintf("impossible target: gap %s is longer than whole %s", i.Gap, i.TotalTime))
	case i.TotalTime > 0 && i.FirstEvent > i.TotalTime:
		c.addProblem(i, fmt.Sprintf("impossible target: first %s is longer than whole %s", i.FirstEvent, i.TotalTime))
	}
	if i.Percent <= 0 || i.Percent > 100 {
		c.addProblem(i, fmt.Sprintf("impossible target: percent is %g, want above 0 and at most 100", i.Percent))
	}
	if i.Reliability > 100 {
		c.addProblem(i, fmt.Sprintf("impossible target: reliability is %g, want at most 100", i.Reliability))
	}
}

func (c *checker) checkTeam(i *item) {
	if raw, err := hex.DecodeString(i.KeyHash); err != nil || len(raw) != keyHashBytes {
		c.addProblem(i, "key-hash is the SHA-256 of the team's key in 64 hex digits")
	}
	if i.Share <= 0 {
		c.addProblem(i, "share must be above 0")
	}
}

func (c *checker) checkModel(i *item) {
	if i.DefaultClass == "" {
		return
	}
	class, ok := c.proposed.item(ItemClass, i.DefaultClass)
	switch {
	case !ok && c.offline:
	case !ok:
		c.addProblem(i, "default names the unknown class "+i.DefaultClass)
	case class.Kind != spec.KindModel || class.Model != i.Name:
		c.addProblem(i, "default names class "+i.DefaultClass+", which is not of this model")
	}
}

func (c *checker) addProblem(i *item, reason string) {
	file, ok := c.files[i.key()]
	if !ok {
		file = "in force"
	}
	c.problems = append(c.problems, Problem{File: file, Section: i.sectionName(), Reason: reason})
}
