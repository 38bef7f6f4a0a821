package config

import (
	"fmt"
	"time"
)

// The platform table of the configuration and its row keys.
const (
	// Table holds the head row, the rows of all versions, the accepted version,
	// the roll and the rows of the listed processes.
	Table = "config"
	// KeyHead is the row of the newest version, a Head in JSON.
	KeyHead = "head"
	// KeyAccepted is the row of the newest version known to be in force
	// everywhere, an Accepted in JSON.
	KeyAccepted = "accepted"
	// KeyRoll is the row of the processes that may publish, a Roll in JSON.
	KeyRoll = "roll"
	// versionPrefix precedes the number in the key of a version's row. The row
	// holds the version's Head in JSON and never changes.
	versionPrefix = "version/"
	// objectPrefix precedes the digest in the name of a snapshot's object.
	objectPrefix = "config/"
)

// Head identifies a version and its content. It is the value of the head row,
// and processes send it to one another to announce a version.
type Head struct {
	Version uint64        `json:"version" cbor:"version"`
	Digest  string        `json:"digest" cbor:"digest"`
	Base    string        `json:"base,omitempty" cbor:"base,omitempty"` // digest of the previous version
	Author  string        `json:"author" cbor:"author"`
	Publish string        `json:"publish" cbor:"publish"` // ID of the Edit that wrote it
	Grace   time.Duration `json:"grace" cbor:"grace"`     // longest grace of any policy in this version
	Older   time.Duration `json:"older" cbor:"older"`     // longest grace of any older version that hosts may still have applied
}

// Accepted is the value of the accepted row: the newest version known to be in
// force everywhere.
type Accepted struct {
	Version uint64 `json:"version"`
}

// ChangeName returns the name of the object that holds the Change, in JSON,
// from the set with digest base to the set with the other digest.
func ChangeName(base, digest string) string { return objectPrefix + base + "-" + digest }

// ObjectName returns the name of the object that holds the snapshot with that
// digest.
func ObjectName(digest string) string { return objectPrefix + digest }

// VersionKey returns the key of a version's row.
func VersionKey(version uint64) string { return fmt.Sprintf("%s%012d", versionPrefix, version) }
