package faults

import (
	"context"
	"strconv"
	"time"

	"github.com/balsamford/balsamford/coord/config"
	"github.com/balsamford/balsamford/trial/judge"
)

// beyondTrial is longer than any trial.
const beyondTrial = 24 * time.Hour

// operate publishes a change without effect on the load or, once in a trial,
// withdraws a key.
func (inj *injector) operate() *fault {
	keys := make([]string, 0)
	set := inj.site.Publisher().Set()
	for _, ref := range set.Refs() {
		if k, ok := set.Object(ref).(*config.Key); ok && !k.Operator() {
			keys = append(keys, k.Name)
		}
	}
	key := keys[inj.rand.IntN(len(keys))]
	note := strconv.Itoa(inj.rand.IntN(1 << 20))
	hosts := inj.site.Cell().EntryHosts()
	operatorAddress := hosts[inj.rand.IntN(len(hosts))].OperatorAddress
	if inj.rand.IntN(4) > 0 || inj.keyWithdrawn {
		return &fault{description: "publish a note", targets: []string{"operator"}, begin: func(ctx context.Context) error {
			path, err := inj.writeFile("note.toml", "[team.spare]\nnote = \""+note+"\"\n")
			if err != nil {
				return err
			}
			return inj.publish(ctx, operatorAddress, "set", path)
		}}
	}
	inj.keyWithdrawn = true
	return &fault{description: "withdraw key " + key, targets: []string{"operator"}, begin: func(ctx context.Context) error {
		err := inj.publish(ctx, operatorAddress, "delete", "key."+key)
		at := time.Now()
		if err != nil {
			// The withdrawal may be in force or not: jobs of the key need no
			// outcome, and new work with it is no violation.
			at = at.Add(beyondTrial)
		}
		inj.mu.Lock()
		defer inj.mu.Unlock()
		inj.withdrawn[key] = at
		return err
	}}
}

// publish changes the configuration through the operator API of an entry. If the
// error is nil, the new version is in force on all hosts.
func (inj *injector) publish(ctx context.Context, operatorAddress string, args ...string) error {
	version, err := inj.runBalsam(ctx, operatorAddress, args...)
	if err != nil {
		return err
	}
	inj.mu.Lock()
	defer inj.mu.Unlock()
	inj.published = append(inj.published, judge.Published{Version: version, Accepted: time.Now()})
	return nil
}
