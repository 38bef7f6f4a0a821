package config

import (
	"fmt"
	"time"
)

// The table and keys in which the platform keeps the configuration.
const (
	// Table holds the head row and the rows of what is in force.
	Table = "config"
	// KeyHead is the row of the newest version, a Head in JSON.
	KeyHead = "head"
	// KeyAccepted is the row of the newest version known to be in force
	// everywhere, an Accepted in JSON.
	KeyAccepted = "accepted"
	// KeyRoll is the row of the processes that may publish, a Roll in JSON.
	KeyRoll = "roll"
	// versionPrefix stands before the number in the key of a version's row,
	// which holds its Head in JSON and is never changed.
	versionPrefix = "version/"
	// objectPrefix stands before the digest in the name of a snapshot's
	// object.
	objectPrefix = "config/"
)

// Head names the newest version. It is the content of the head row and what
// hosts tell one another.
type Head struct {
	Version uint64        `json:"version" cbor:"version"`
	Digest  string        `json:"digest" cbor:"digest"`
	Base    string        `json:"base,omitempty" cbor:"base,omitempty"` // digest of the version before
	Author  string        `json:"author" cbor:"author"`
	Publish string        `json:"publish" cbor:"publish"` // id of the publish that wrote it
	Grace   time.Duration `json:"grace" cbor:"grace"`     // longest grace of this version
	Older   time.Duration `json:"older" cbor:"older"`     // longest grace of older versions that hosts may still hold
}

// Accepted is a version that is in force everywhere.
type Accepted struct {
	Version uint64 `json:"version"`
}

// ChangeName returns the name of the object that holds the Change, in JSON,
// from one digest to another.
func ChangeName(base, digest string) string { return objectPrefix + base + "-" + digest }

// ObjectName returns the name of the object that holds the snapshot of that
// digest.
func ObjectName(digest string) string { return objectPrefix + digest }

// VersionKey returns the key of a version's row.
func VersionKey(version uint64) string { return fmt.Sprintf("%s%012d", versionPrefix, version) }
