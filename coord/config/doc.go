// Package config holds what operators configure: named objects (teams, keys,
// queues, shares, limits, policies, endpoints) that refer to one another.
//
// Parse reads objects from TOML and Set.Check checks a whole set of them.
// Publisher writes a checked set to the platform as the next version, with its
// audit record in the same transaction. Follower keeps a process at the newest
// version, tells its peers and answers whether the version is still confirmed.
// Waiter tells a publisher when its version is in force everywhere.
//
// A Snapshot is one version, checked and ready to be read. The versions that a
// Follower applies only go up. Keys are honoured only while a read of the head
// that was sent at most Period plus the policy's grace ago showed that the
// version is the newest, so that a host that is cut off stops honouring them
// by itself.
package config
