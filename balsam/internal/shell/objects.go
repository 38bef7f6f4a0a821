package shell

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/integrii/flaggy"

	"github.com/balsamford/balsamford/balsam/internal/remote"
	"github.com/balsamford/balsamford/coord/admin"
	"github.com/balsamford/balsamford/coord/audit"
	"github.com/balsamford/balsamford/coord/config"
)

// maxNames is the number of positional names that a command accepts, and the number of
// changed objects that the audit table shows per record.
const maxNames = 8

// change holds the arguments and flags of the commands that check or change objects.
type change struct {
	names   [maxNames]string
	more    []string
	base    string
	id      string
	wait    bool
	timeout time.Duration
	online  bool
}

// addObjectCommands adds the commands that check and change objects.
func (a *app) addObjectCommands(p *flaggy.Parser) {
	var check, publish, set, del change
	sub := a.addCommand(p, "check", "checks files of objects, and with --online what they would change",
		"  balsam check shop.toml keys.toml\n  balsam check deploy/ --online", func(ctx context.Context) error { return a.check(ctx, &check) })
	check.addFileFlags(sub)
	sub.Bool(&check.online, "", "online", "also compare with the newest version")

	sub = a.addCommand(p, "publish", "makes the objects in files the whole configuration",
		"  balsam publish deploy/ --wait\n  balsam publish all.toml --base 41",
		func(ctx context.Context) error { return a.change(ctx, &publish, audit.Publish) })
	publish.addFileFlags(sub)
	publish.addChangeFlags(sub)

	sub = a.addCommand(p, "set", "adds or replaces the objects in files and leaves the others",
		"  balsam set limit.toml --wait\n  printf '[limit.shop]\\nteam = \"shop\"\\ntasks = 90\\n' | balsam set -",
		func(ctx context.Context) error { return a.change(ctx, &set, audit.Set) })
	set.addFileFlags(sub)
	set.addChangeFlags(sub)

	sub = a.addCommand(p, "delete", "removes objects",
		"  balsam delete key.shop-1 --wait",
		func(ctx context.Context) error { return a.change(ctx, &del, audit.Delete) })
	for i := range del.names {
		sub.AddPositionalValue(&del.names[i], "OBJECT", i+1, i == 0, `like "key.shop-1"`)
	}
	del.addChangeFlags(sub)

	var name string
	sub = a.addCommand(p, "key", "makes a secret and the digest to publish; the secret is kept nowhere",
		"  balsam key shop-2", func(context.Context) error { return a.newKey(name) })
	sub.AddPositionalValue(&name, "NAME", 1, true, "name of the key object")
}

func (c *change) addFileFlags(sub *flaggy.Subcommand) {
	for i := range c.names {
		sub.AddPositionalValue(&c.names[i], "FILE", i+1, i == 0, "TOML file, directory, or - for the standard input")
	}
	sub.StringSlice(&c.more, "f", "file", "another file; may be given many times")
}

func (c *change) addChangeFlags(sub *flaggy.Subcommand) {
	sub.String(&c.base, "b", "base", "version that the change was made to; refuses if there is a newer one")
	sub.String(&c.id, "i", "id", "id of a publish whose answer was lost")
	sub.Bool(&c.wait, "w", "wait", "wait until it is in force everywhere")
	sub.Duration(&c.timeout, "t", "timeout", `longest wait, like "30s"`)
}

// check validates files locally and, with --online, prints how they differ from the
// newest version.
func (a *app) check(ctx context.Context, c *change) error {
	files, err := a.readFiles(append(c.names[:], c.more...))
	if err != nil {
		return err
	}
	set, faults := config.Parse(files...)
	faults = append(faults, set.Check()...)
	if a.json() {
		a.printJSON(admin.Checked{Faults: faults})
		if len(config.Errors(faults)) > 0 {
			return &ExitError{Code: Invalid}
		}
	}
	if err := a.checkFaults(faults); err != nil {
		return err
	}
	if !c.online {
		_, _ = fmt.Fprintf(a.streams.Err, "%d objects, no faults\n", set.Len())
		return nil
	}
	client, err := a.settings.operatorClient()
	if err != nil {
		return err
	}
	answer, err := client.Call(ctx, http.MethodPost, admin.PathCheck, nil, admin.Change{Action: audit.Publish, Files: files})
	if err != nil {
		return err
	}
	return a.printChecked(answer)
}

func (a *app) printChecked(answer remote.Answer) error {
	if a.json() {
		_, _ = a.streams.Out.Write(answer.Body)
		return nil
	}
	var out admin.Checked
	if err := json.Unmarshal(answer.Body, &out); err != nil {
		return err
	}
	a.printChanges(a.streams.Out, out.Changes)
	return nil
}

// change publishes the objects in files, or deletions of objects. A change without an
// id gets one here, so that it can be repeated safely when its outcome is unknown.
func (a *app) change(ctx context.Context, c *change, action audit.Action) error {
	in := admin.Change{ID: c.id, Action: action, Wait: c.wait, Timeout: c.timeout}
	if c.base != "" {
		base, err := strconv.ParseUint(c.base, 10, 64)
		if err != nil {
			return &UsageError{Text: "--base: not a version; write its number"}
		}
		in.Base = &base
	}
	var err error
	if action == audit.Delete {
		in.Delete, err = parseRefs(c.names[:])
	} else {
		in.Files, err = a.readFiles(append(c.names[:], c.more...))
	}
	if err != nil {
		return err
	}
	if in.ID == "" {
		in.ID = audit.NewID(time.Now())
	}
	client, err := a.settings.operatorClient()
	if err != nil {
		return err
	}
	return a.publish(ctx, client, in)
}

func parseRefs(names []string) ([]config.Ref, error) {
	var out []config.Ref
	for _, name := range names {
		if name == "" {
			continue
		}
		ref := config.ParseRef(name)
		if !ref.Type.Valid() || ref.Name == "" {
			return nil, &UsageError{Text: name + ` is not an object; write it like "key.shop-1"`}
		}
		out = append(out, ref)
	}
	return out, nil
}

// newKey generates a secret and prints it with the key object to publish.
func (a *app) newKey(name string) error {
	if !config.ValidName(name) {
		return &UsageError{Text: name + " can't name a key; write one word of lower-case letters, digits and hyphens that begins with a letter"}
	}
	secret, digest := config.NewSecret(name)
	if a.json() {
		a.printJSON(keyOutput{Secret: secret, Digest: digest})
		return nil
	}
	_, _ = fmt.Fprintf(a.streams.Out, "secret = %q\n\n[key.%s]\nteam = \"\" # the team that the key belongs to\ndigest = %q\n", secret, name, digest)
	return nil
}

// keyOutput is the JSON output of the key command.
type keyOutput struct {
	Secret string        `json:"secret"`
	Digest config.Digest `json:"digest"`
}
