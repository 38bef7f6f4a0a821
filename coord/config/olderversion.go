package config

// passed is an older version: its digest, and the objects that the version
// after it added, replaced or removed.
type olderVersion struct {
	digest  string
	changed []Ref
}

// changedRefs returns the objects that differ between two sets.
func changedRefs(from, to *Set) []Ref {
	differences := Compare(from, to)
	refs := make([]Ref, len(differences))
	for i, d := range differences {
		refs[i] = d.Ref
	}
	return refs
}

// changeSince returns what leads from the first of the older versions to set.
func changeSince(versions []olderVersion, set *Set) *Change {
	c := &Change{Base: versions[0].digest}
	seen := make(map[Ref]bool)
	for _, v := range versions {
		for _, ref := range v.changed {
			if seen[ref] {
				continue
			}
			seen[ref] = true
			if text, ok := set.encoded[ref]; ok {
				c.Put = append(append(c.Put, text...), '\n')
				continue
			}
			c.Deleted = append(c.Deleted, ref)
		}
	}
	return c
}
