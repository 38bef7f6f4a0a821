package config

// olderVersion is the digest of an older version and the objects that the next
// version added, replaced or removed.
type olderVersion struct {
	digest  string
	changed []Ref
}

// changedRefs returns the references of the objects that differ between two
// sets.
func changedRefs(from, to *Set) []Ref {
	differences := Compare(from, to)
	refs := make([]Ref, len(differences))
	for i, d := range differences {
		refs[i] = d.Ref
	}
	return refs
}

// changeSince returns the change from the first of versions to set. The
// versions are consecutive, and set is the one after them.
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
