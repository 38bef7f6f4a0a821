package audit

import (
	"crypto/rand"
	"encoding/hex"
	"strings"
	"time"
)

const (
	// The layouts of an ID's timestamp and of its first part, the day, in UTC.
	idLayout   = "20060102T150405.000"
	dayLayout  = "20060102"
	randomSize = 6
)

// NewID returns a unique record ID for an action at now. IDs sort by time, with
// millisecond resolution.
func NewID(now time.Time) string {
	random := make([]byte, randomSize)
	_, _ = rand.Read(random) // crypto/rand.Read never returns an error
	return now.UTC().Format(idLayout) + "-" + hex.EncodeToString(random)
}

// ValidID reports whether id has the format of NewID.
func ValidID(id string) bool {
	stamp, random, ok := strings.Cut(id, "-")
	if !ok || len(random) != 2*randomSize {
		return false
	}
	_, stampErr := time.Parse(idLayout, stamp)
	_, randomErr := hex.DecodeString(random)
	return stampErr == nil && randomErr == nil
}
