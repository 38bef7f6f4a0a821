package shell

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/integrii/flaggy"

	"github.com/balsamford/balsamford/balsam/internal/remote"
	"github.com/balsamford/balsamford/coord/admin"
	"github.com/balsamford/balsamford/coord/config"
)

// addHostCommands adds the commands that list and drain hosts.
func (a *app) addHostCommands(p *flaggy.Parser) {
	a.addCommand(p, "hosts", "lists the processes that follow the configuration, their versions and drains", "  balsam hosts",
		func(ctx context.Context) error { return a.listHosts(ctx) })

	var host, note string
	var end bool
	sub := a.addCommand(p, "drain", "keeps new work from a host or an endpoint; lists the drains without a name",
		"  balsam drain h3 --note \"disk fails\"\n  balsam drain h3 --end\n  balsam drain",
		func(ctx context.Context) error { return a.drain(ctx, host, note, end) })
	sub.AddPositionalValue(&host, "HOST", 1, false, "name of a host or an endpoint")
	sub.String(&note, "n", "note", "why")
	sub.Bool(&end, "", "end", "give it work again")
}

func (a *app) listHosts(ctx context.Context) error {
	answer, err := a.get(ctx, admin.PathHosts, nil)
	if err != nil || a.printRaw(answer) {
		return err
	}
	var hosts []admin.Host
	if err := json.Unmarshal(answer.Body, &hosts); err != nil {
		return err
	}
	rows := make([][]string, 0, len(hosts))
	for _, h := range hosts {
		state := "confirmed"
		if h.Age < 0 {
			state = "unconfirmed"
		}
		if !h.Reached {
			state = "unreached"
		}
		if h.Drained {
			state += ",drained"
		}
		rows = append(rows, []string{h.Name, h.Zone, h.Address, strconv.FormatUint(h.Version, 10), h.Age.Round(time.Millisecond).String(), state})
	}
	a.printTable("NAME ZONE ADDRESS VERSION AGE STATE", rows)
	return nil
}

func (a *app) drain(ctx context.Context, host, note string, end bool) error {
	if host == "" {
		return a.listDrains(ctx)
	}
	client, err := a.settings.operatorClient()
	if err != nil {
		return err
	}
	method := http.MethodPut
	if end {
		method = http.MethodDelete
	}
	answer, err := client.Call(ctx, method, admin.PathHost+url.PathEscape(host), remote.Query{"note": note}, nil)
	if err != nil || a.printRaw(answer) {
		return err
	}
	if end {
		_, _ = fmt.Fprintf(a.streams.Out, "%s gets work again\n", host)
		return nil
	}
	_, _ = fmt.Fprintf(a.streams.Out, "%s gets no new work\n", host)
	return nil
}

func (a *app) listDrains(ctx context.Context) error {
	answer, err := a.get(ctx, admin.PathDrain, nil)
	if err != nil || a.printRaw(answer) {
		return err
	}
	var drains []config.Drain
	if err := json.Unmarshal(answer.Body, &drains); err != nil {
		return err
	}
	rows := make([][]string, 0, len(drains))
	for _, d := range drains {
		rows = append(rows, []string{d.Host, d.Author, d.When.Format(time.RFC3339), d.Note})
	}
	a.printTable("HOST AUTHOR WHEN NOTE", rows)
	return nil
}
