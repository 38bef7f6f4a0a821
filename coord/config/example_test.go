package config_test

import (
	"fmt"

	"github.com/balsamford/balsamford/coord/config"
)

// Files are parsed into one set, and the set is checked as a whole.
func ExampleSet_Check() {
	set, faults := config.Parse(config.File{Name: "shop.toml", Data: []byte(`
[team.shop]
[limit.shop]
team = "shpo"
tasks = -1
`)})
	faults = append(faults, set.Check()...)
	for _, f := range faults {
		fmt.Println(f)
	}
	// Output:
	// shop.toml:4: limit.shop: team: there is no team "shpo"; write "shop" or add [team.shpo]
	// shop.toml:5: limit.shop: tasks: out of bounds; write a number from 0 to 10000000
}

// A snapshot returns the team that a secret belongs to. The configuration holds
// only the secret's digest.
func ExampleSnapshot_KeyTeam() {
	secret, digest := config.NewSecret("shop-1")
	set := config.NewSet()
	set.Put(&config.Team{Name: "shop"})
	set.Put(&config.Key{Name: "shop-1", Team: "shop", Digest: digest})
	team, role, ok := config.NewSnapshot(1, set).KeyTeam(secret)
	fmt.Println(team, role, ok)
	// Output: shop caller true
}
