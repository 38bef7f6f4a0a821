package config

import (
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/balsamford/balsamford/coord/parts"
)

const sampleDigest = "sha256:0011223344556677:00112233445566778899aabbccddeeff00112233445566778899aabbccddeeff"

const sample = `# the shop's own objects
[team.shop]
[team.north]
parent = "shop"

[key.shop-1]
team = "shop"
digest = "` + sampleDigest + `"

[policy.base]
aim = "share"
grace = "1s"
[policy.fast]
base = "base"
preempt = true

[queue.checks]
kinds = ["quick"]
teams = ["shop", "north"]
policy = "fast"
bound = 10
[queue.public]
open = true

[share.shop]
team = "shop"
weight = 3.0
[limit.shop]
team = "shop"
tasks = 100
[limit.north]
team = "north"
tasks = 40
[endpoint.worker]
kind = "worker"
count = 50
has = { cpu = 32000, mem = 128000000000 }
`

func parse(t *testing.T, text string) *Set {
	t.Helper()
	s, faults := Parse(File{Name: "a.toml", Data: []byte(text)})
	is.New(t).Equal(len(faults), 0)
	return s
}

func TestSample(t *testing.T) {
	is := is.New(t)
	s := parse(t, sample)
	is.Equal(len(s.Check()), 0)
	snap := NewSnapshot(7, s)
	again, err := Load(7, snap.Digest(), snap.Data())
	is.NoErr(err)
	is.Equal(again.Digest(), NewSnapshot(7, again.Set()).Digest())
	is.Equal(again.Teams(), []string{"north", "shop"})
	l, ok := again.Limit("shop")
	is.True(ok)
	is.Equal(l, parts.AtMost(60))
	is.Equal(again.Weight("shop"), 1.5)
	is.Equal(again.Weight("north"), 1.5)
	q, ok := again.Queue("checks")
	is.True(ok)
	is.Equal(q.Bound, 10)
	is.True(q.Allows("north"))
	is.True(!q.Allows(""))
	r, ok := again.Policy("fast")
	is.True(ok)
	is.Equal(r.Aim(), AimShare)
	is.True(r.Preempt())
	is.Equal(r.Grace().String(), "1s")
}

// TestFaults checks the faults of invalid sets. An expected fault is written as
// "line object field: beginning of the text".
func TestFaults(t *testing.T) {
	tests := map[string]struct {
		text string
		want []string
	}{
		"syntax of two objects": {"[team.a]\nnote = \n[team.b]\nnote = 3\n", []string{"2 team.a", "4 team.b note"}},
		"unknown fields":        {"[team.a]\nfoo = 1\nbar = 2\n", []string{"2 team.a foo: unknown field", "3 team.a bar: unknown field"}},
		"unknown type":          {"[group.a]\n", []string{"1 group.a: no such type"}},
		"array of tables":       {"[[team]]\n", []string{"1 [[team]]: no such type"}},
		"bad name":              {"[team.A b]\n", []string{"1 team.A b: not a name"}},
		"duplicate":             {"[team.a]\n[team.a]\n", []string{"2 team.a: defined twice, first at a.toml:1"}},
		"before the first":      {"\nx = 1\n", []string{"2 : stands before"}},
		"broken references": {"[team.shop]\n[queue.q]\nteams = [\"shp\"]\npolicy = \"none\"\n",
			[]string{`3 queue.q teams: there is no team "shp"; write "shop"`, `4 queue.q policy: there is no policy "none"; add [policy.none]`}},
		"cycle of teams":    {"[team.a]\nparent = \"b\"\n[team.b]\nparent = \"a\"\n", []string{"2 team.a parent: goes in a circle: a -> b -> a"}},
		"cycle of policies": {"[policy.a]\nbase = \"a\"\n", []string{"2 policy.a base: goes in a circle: a -> a"}},
		"two limits":        {"[team.a]\n[limit.x]\nteam = \"a\"\ntasks = 1\n[limit.y]\nteam = \"a\"\ntasks = 2\n", []string{"6 limit.y team: team \"a\" has a limit already, limit.x"}},
		"two shares":        {"[team.a]\n[share.x]\nteam = \"a\"\nweight = 1\n[share.y]\nteam = \"a\"\nweight = 2\n", []string{"6 share.y team: team \"a\" has a share already, share.x"}},
		"children above parent": {"[team.a]\n[team.b]\nparent = \"a\"\n[limit.a]\nteam = \"a\"\ntasks = 5\n[limit.b]\nteam = \"b\"\ntasks = 6\n",
			[]string{"6 limit.a tasks: the limits of the teams in \"a\" add up to 6"}},
		"child without limit": {"[team.a]\n[team.b]\nparent = \"a\"\n[limit.a]\nteam = \"a\"\ntasks = 5\n", []string{"3 team.b parent: team \"a\" has a limit and this one has none"}},
		"share and no room":   {"[team.a]\n[share.a]\nteam = \"a\"\nweight = 2.0\n[limit.a]\nteam = \"a\"\ntasks = 0\n", []string{"3 share.a team: team \"a\" has a share, and limit.a lets it run nothing"}},
		"bounds": {"[team.a]\n[share.a]\nteam = \"a\"\nweight = -1.0\n[queue.q]\nbound = -5\nkinds = [\"slow\"]\n[policy.p]\naim = \"x\"\ngrace = \"48h\"\nheadroom = 1.5\n",
			[]string{"4 share.a weight: write a number above 0", "6 queue.q bound: out of bounds", "7 queue.q kinds: \"slow\" is no kind", "9 policy.p aim: \"x\" is no aim", "10 policy.p grace: out of bounds", "11 policy.p headroom: out of bounds"}},
		"secret as digest":    {"[team.a]\n[key.k]\nteam = \"a\"\ndigest = \"hunter2\"\n", []string{"4 key.k digest: not a digest"}},
		"caller without team": {"[key.k]\ndigest = \"" + sampleDigest + "\"\n", []string{"1 key.k team: missing"}},
		"same digest":         {"[key.k]\nrole = \"operator\"\ndigest = \"" + sampleDigest + "\"\n[key.l]\nrole = \"operator\"\ndigest = \"" + sampleDigest + "\"\n", []string{"6 key.l digest: the same as that of key.k"}},
		"open with teams":     {"[team.a]\n[queue.q]\nopen = true\nteams = [\"a\"]\n", []string{"4 queue.q teams: an open queue"}},
		"limit above the cell": {"[team.a]\n[limit.a]\nteam = \"a\"\ntasks = 500\n[endpoint.e]\nkind = \"executor\"\ncount = 50\nhas = { slots = 8 }\n",
			[]string{"warning 4 limit.a tasks: above the 400 tasks"}},
		"limit of nothing":         {"[team.a]\n[limit.a]\nteam = \"a\"\n", []string{"2 limit.a tasks: limits nothing"}},
		"limit out of bounds":      {"[team.a]\n[limit.a]\nteam = \"a\"\naccel = -1\nmem = 999999999999999999\n", []string{"4 limit.a accel: out of bounds", "5 limit.a mem: out of bounds"}},
		"share and no processors":  {"[team.a]\n[share.a]\nteam = \"a\"\nweight = 2.0\n[limit.a]\nteam = \"a\"\ncpu = 0\nslots = 0\n", []string{"3 share.a team: team \"a\" has a share, and limit.a lets it run nothing"}},
		"children above resources": {"[team.a]\n[team.b]\nparent = \"a\"\n[limit.a]\nteam = \"a\"\naccel = 5\nmem = 9\n[limit.b]\nteam = \"b\"\naccel = 6\n", []string{"6 limit.a accel: the limits of the teams in \"a\" add up to 6", "3 team.b parent: team \"a\" has a limit and this one has none; add a limit of at most 9 bytes"}},
		"resource above the cell": {"[team.a]\n[limit.a]\nteam = \"a\"\naccel = 9\ncpu = 8000\n[endpoint.e]\nkind = \"worker\"\ncount = 2\nhas = { cpu = 4000, accel = 4 }\n",
			[]string{"warning 4 limit.a accel: above the 8 accelerators"}},
		"values over several lines": {"[queue.q]\nkinds = [\n\"quick\",\n\"slow\",\n]\nfoo = 1\n", []string{"6 queue.q foo: unknown field", "2 queue.q kinds: \"slow\" is no kind"}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s, faults := Parse(File{Name: "a.toml", Data: []byte(tt.text)})
			faults = append(faults, s.Check()...)
			for _, f := range faults {
				t.Log(f)
			}
			is.Equal(len(faults), len(tt.want))
			for _, want := range tt.want {
				is.True(hasFault(faults, want))
			}
		})
	}
}

func hasFault(faults []Fault, want string) bool {
	for _, f := range faults {
		text := number(float64(f.Line)) + " " + f.Object
		if f.Warning {
			text = "warning " + text
		}
		if f.Field != "" {
			text += " " + f.Field
		}
		if strings.HasPrefix(text+": "+f.Text, want) {
			return true
		}
	}
	return false
}

func TestKeys(t *testing.T) {
	is := is.New(t)
	first, firstDigest := NewSecret("shop-1")
	second, secondDigest := NewSecret("shop-2")
	op, opDigest := NewSecret("ops")
	s := NewSet()
	s.Put(&Team{Name: "shop"})
	s.Put(&Key{Name: "shop-1", Team: "shop", Digest: firstDigest})
	s.Put(&Key{Name: "shop-2", Team: "shop", Digest: secondDigest})
	s.Put(&Key{Name: "ops", Role: RoleOperator, Digest: opDigest})
	is.Equal(len(s.Check()), 0)
	snap := NewSnapshot(1, s)
	for _, secret := range []string{first, second} {
		team, role, ok := snap.KeyTeam(secret)
		is.True(ok)
		is.Equal(team, "shop")
		is.Equal(role, "caller")
		is.True(!strings.Contains(string(snap.Data()), secret))
	}
	_, role, ok := snap.KeyTeam(op)
	is.True(ok)
	is.Equal(role, "operator")
	for _, wrong := range []string{"", "shop-1", "shop-1.", first + "x", first[:len(first)-1], "none.abc", string(firstDigest)} {
		_, _, ok := snap.KeyTeam(wrong)
		is.True(!ok)
	}
}
