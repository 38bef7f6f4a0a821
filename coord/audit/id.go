package audit

import (
	"crypto/rand"
	"encoding/hex"
	"strings"
	"time"
)

const (
	idLayout    = "20060102T150405.000"
	dayLayout   = "20060102"
	randomBytes = 6
)

// NewID returns an id for an action at that moment. Ids sort by time.
func NewID(now time.Time) string {
	random := make([]byte, randomBytes)
	_, _ = rand.Read(random) // never fails
	return now.UTC().Format(idLayout) + "-" + hex.EncodeToString(random)
}

// ValidID reports whether id has the form that NewID gives.
func ValidID(id string) bool {
	stamp, random, ok := strings.Cut(id, "-")
	if !ok || len(random) != 2*randomBytes {
		return false
	}
	_, stampErr := time.Parse(idLayout, stamp)
	_, randomErr := hex.DecodeString(random)
	return stampErr == nil && randomErr == nil
}
