// Package config parses, checks, publishes and distributes the operators'
// configuration: named objects (teams, keys, queues, shares, limits, policies,
// endpoints) that refer to one another.
//
// Parse reads objects from TOML and Set.Check validates a whole set. A
// Publisher writes a checked set to the platform as the next version, with its
// audit record in the same transaction. A Follower keeps a process at the
// newest version, announces new versions to peers and reports whether the
// current version is confirmed as the newest. A Waiter reports to a publisher
// when its version is in force everywhere.
//
// A Snapshot is one checked, immutable version. The versions that a Follower
// applies never decrease. A process accepts keys only while its version is
// confirmed: a read of the head row that returned this version was sent no
// longer ago than Period plus the policy's grace. A host that is cut off
// therefore stops accepting keys by itself. While the platform is unavailable,
// the processes that may publish (the writers) can confirm the version in its
// place: see Question.
package config
