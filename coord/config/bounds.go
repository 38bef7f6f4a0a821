package config

import (
	"strconv"
)

const (
	maxNameBytes = 40
	maxNoteBytes = 200
)

// ValidName reports whether s is a valid object name: 1 to 40 lower-case
// letters, digits and hyphens, beginning with a letter.
func ValidName(s string) bool {
	if s == "" || len(s) > maxNameBytes {
		return false
	}
	for i, c := range []byte(s) {
		letter := c >= 'a' && c <= 'z'
		other := c >= '0' && c <= '9' || c == '-'
		if !letter && (i == 0 || !other) {
			return false
		}
	}
	return true
}

func checkNote(note string) []problem {
	if len(note) <= maxNoteBytes {
		return nil
	}
	return []problem{{"note", "too long; write at most 200 bytes"}}
}

func checkRange(field string, v, high float64) []problem {
	if v >= 0 && v <= high {
		return nil
	}
	return []problem{{field, "out of bounds; write a number from 0 to " + number(high)}}
}

func number(v float64) string { return strconv.FormatFloat(v, 'f', -1, 64) }

func quote(s string) string { return strconv.Quote(s) }
