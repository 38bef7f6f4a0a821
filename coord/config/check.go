package config

import (
	"cmp"
	"slices"
)

// Check returns the faults and warnings of the set as a whole: values out of
// bounds, broken references, cycles, duplicates, and shares and limits that
// contradict one another. They are sorted by file and line. Check doesn't
// change the set.
func (s *Set) Check() []Fault {
	c := &checker{set: s}
	for _, ref := range s.Refs() {
		c.object(s.objects[ref])
	}
	c.cycles()
	c.duplicates()
	c.limits()
	c.shares()
	c.capacity()
	slices.SortStableFunc(c.faults, func(a, b Fault) int {
		return cmp.Or(cmp.Compare(a.File, b.File), cmp.Compare(a.Line, b.Line))
	})
	return c.faults
}

// checker collects the faults of one set.
type checker struct {
	set    *Set
	faults []Fault
}

func (c *checker) add(ref Ref, field, text string) {
	c.faults = append(c.faults, c.set.locations[ref].fault(ref, field, text))
}

func (c *checker) warn(ref Ref, field, text string) {
	f := c.set.locations[ref].fault(ref, field, text)
	f.Warning = true
	c.faults = append(c.faults, f)
}

func (c *checker) object(o Object) {
	for _, p := range o.check() {
		c.add(o.Ref(), p.field, p.text)
	}
	for _, l := range o.references() {
		if l.to.Name == "" {
			c.add(o.Ref(), l.field, "missing; name a "+string(l.to.Type))
			continue
		}
		if c.set.objects[l.to] == nil {
			c.add(o.Ref(), l.field, c.missingText(l.to))
		}
	}
}

// missingText returns the fault text for a reference to a missing object, and
// suggests the most similar name.
func (c *checker) missingText(to Ref) string {
	text := "there is no " + string(to.Type) + " " + quote(to.Name)
	best, distance := "", len(to.Name)/2+1
	for _, ref := range c.set.Refs() {
		if ref.Type != to.Type {
			continue
		}
		if d := editDistance(ref.Name, to.Name); d < distance {
			best, distance = ref.Name, d
		}
	}
	if best != "" {
		return text + "; write " + quote(best) + " or add [" + to.String() + "]"
	}
	return text + "; add [" + to.String() + "] or name another"
}

// editDistance returns the Levenshtein distance between a and b in bytes.
func editDistance(a, b string) int {
	row := make([]int, len(b)+1)
	for j := range row {
		row[j] = j
	}
	for i := range len(a) {
		diagonal := row[0]
		row[0] = i + 1
		for j := range len(b) {
			cost := 1
			if a[i] == b[j] {
				cost = 0
			}
			next := min(row[j]+1, row[j+1]+1, diagonal+cost)
			diagonal, row[j+1] = row[j+1], next
		}
	}
	return row[len(b)]
}
