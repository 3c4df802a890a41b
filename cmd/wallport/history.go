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

type sheetDiff struct {
	remote
	Args fileArg `positional-args:"yes" required:"yes"`
}

func (c *sheetDiff) Execute([]string) error {
	b, err := readJSON(c.Args.File)
	if err != nil {
		return err
	}
	want, found := config.Read(b)
	if len(found) == 0 {
		found = config.Check(want)
	}
	if len(found) > 0 {
		return coded{exitInvalid, lines(found)}
	}
	now, err := c.client().Sheet(context.Background(), &operator.SheetPayload{Token: c.token()})
	if err != nil {
		return told(err)
	}
	have, err := parsed(now.Sheet)
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

func parsed(v any) (*configpb.Sheet, error) {
	b, err := json.Marshal(v)
	if err != nil {
		return nil, err
	}
	s, found := config.Read(b)
	if len(found) > 0 {
		return nil, coded{exitFailed, "the node's sheet cannot be read: " + lines(found)}
	}
	return s, nil
}

func lines(found []wire.Finding) string {
	var out []string
	for _, f := range found {
		out = append(out, f.Path+": "+f.Text)
	}
	sort.Strings(out)
	return strings.Join(out, "\n")
}

type sheetPast struct{ remote }

func (c *sheetPast) Execute([]string) error {
	list, err := c.client().History(context.Background(), &operator.HistoryPayload{Token: c.token()})
	if err != nil {
		return told(err)
	}
	var before *configpb.Sheet
	for _, p := range list {
		s, err := parsed(p.Sheet)
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

type sheetBack struct {
	editing
	Args struct {
		Stamp string `positional-arg-name:"STAMP"`
	} `positional-args:"yes" required:"yes"`
}

func (c *sheetBack) Execute([]string) error {
	ctx, cl := context.Background(), c.client()
	base, err := c.base(ctx, cl)
	if err != nil {
		return err
	}
	return taken(cl.ReturnSheet(ctx, &operator.ReturnSheetPayload{Token: c.token(), EditID: opt(c.EditID), BasedOn: base, By: opt(c.By), Stamp: c.Args.Stamp}))
}
