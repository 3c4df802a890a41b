// Staged roll-out of a sheet: the difference before it is put, the history
// after, and the way back.

package main

import (
	"context"
	"encoding/json"
	"fmt"
	"sort"
	"strings"

	"wallport/api/configpb"
	"wallport/control/config"
	"wallport/gen/operator"
	"wallport/runtime/wire"
)

type configDiff struct {
	remoteFlags
	Args fileArg `positional-args:"yes" required:"yes"`
}

func (c *configDiff) Execute([]string) error {
	b, err := readJSON(c.Args.File)
	if err != nil {
		return err
	}
	want, found := config.Read(b)
	if len(found) == 0 {
		found = config.Check(want)
	}
	if len(found) > 0 {
		return exitError{exitInvalid, findingLines(found)}
	}
	now, err := c.client().Sheet(context.Background(), &operator.SheetPayload{Token: c.token()})
	if err != nil {
		return commandError(err)
	}
	have, err := parseConfig(now.Sheet)
	if err != nil {
		return err
	}
	diff := config.Diff(have, want)
	if len(diff) == 0 {
		fmt.Println("no difference")
	}
	for _, l := range diff {
		fmt.Println(l)
	}
	return nil
}

func parseConfig(v any) (*configpb.Sheet, error) {
	b, err := json.Marshal(v)
	if err != nil {
		return nil, err
	}
	s, found := config.Read(b)
	if len(found) > 0 {
		return nil, exitError{exitFailed, "the node's sheet cannot be read: " + findingLines(found)}
	}
	return s, nil
}

func findingLines(found []wire.Finding) string {
	var out []string
	for _, f := range found {
		out = append(out, f.Path+": "+f.Text)
	}
	sort.Strings(out)
	return strings.Join(out, "\n")
}

type configHistory struct{ remoteFlags }

func (c *configHistory) Execute([]string) error {
	list, err := c.client().History(context.Background(), &operator.HistoryPayload{Token: c.token()})
	if err != nil {
		return commandError(err)
	}
	var before *configpb.Sheet
	for _, p := range list {
		s, err := parseConfig(p.Sheet)
		if err != nil {
			return err
		}
		fmt.Printf("stamp=%s by=%q\n", p.Stamp, p.By)
		if before != nil {
			for _, l := range config.Diff(before, s) {
				fmt.Println("  " + l)
			}
		}
		before = s
	}
	return nil
}

type configRevert struct {
	editFlags
	Args struct {
		Stamp string `positional-arg-name:"STAMP"`
	} `positional-args:"yes" required:"yes"`
}

func (c *configRevert) Execute([]string) error {
	ctx, cl := context.Background(), c.client()
	base, err := c.baseVersion(ctx, cl)
	if err != nil {
		return err
	}
	return printTaken(cl.ReturnSheet(ctx, &operator.ReturnSheetPayload{Token: c.token(), EditID: optional(c.EditID), BasedOn: base, By: optional(c.By), Stamp: c.Args.Stamp}))
}
