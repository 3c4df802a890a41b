package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"sort"
	"strings"

	"wallport/api/configpb"
	"wallport/control/config"
	"wallport/gen/operator"
	"wallport/runtime/wire"
)

// configCmd contains the sub-commands for the configuration, which users know as the sheet.
type configCmd struct {
	Get     configGet     `command:"get" description:"show the sheet and its stamp"`
	Check   configCheck   `command:"check" description:"check a sheet file without changing anything"`
	Put     configPut     `command:"put" description:"put a whole sheet"`
	Edit    configEdit    `command:"edit" description:"set or remove single rows"`
	Diff    configDiff    `command:"diff" description:"what a sheet file would change"`
	History configHistory `command:"history" description:"list the sheets that were in force"`
	Revert  configRevert  `command:"return" description:"put an earlier sheet in force again, under a new stamp"`
}

// readJSON reads a JSON file, or standard input if the name is "-".
func readJSON(file string) (json.RawMessage, error) {
	b, err := os.ReadFile(file)
	if file == "-" {
		b, err = io.ReadAll(os.Stdin)
	}
	if err != nil {
		return nil, exitError{exitUsage, err.Error()}
	}
	if !json.Valid(b) {
		var v any
		return nil, exitError{exitInvalid, file + ": not JSON: " + json.Unmarshal(b, &v).Error()}
	}
	return b, nil
}

type configGet struct{ remoteFlags }

func (c *configGet) Execute([]string) error {
	now, err := c.client().Sheet(context.Background(), &operator.SheetPayload{Token: c.token()})
	if err != nil {
		return commandError(err)
	}
	fmt.Fprintln(os.Stderr, "stamp="+now.Stamp)
	return printJSON(now.Sheet)
}

type fileArg struct {
	File string `positional-arg-name:"FILE" description:"a JSON file, or - for standard input"`
}

type configCheck struct {
	remoteFlags
	Args fileArg `positional-args:"yes" required:"yes"`
}

func (c *configCheck) Execute([]string) error {
	content, err := readJSON(c.Args.File)
	if err != nil {
		return err
	}
	found, err := c.client().CheckSheet(context.Background(), &operator.CheckSheetPayload{Token: c.token(), Sheet: content})
	if err != nil {
		return commandError(err)
	}
	if len(found) == 0 {
		fmt.Println("no findings")
		return nil
	}
	var lines []string
	for _, f := range found {
		lines = append(lines, f.Place+": "+f.Text)
	}
	return exitError{exitInvalid, strings.Join(lines, "\n")}
}

type configPut struct {
	editFlags
	Args fileArg `positional-args:"yes" required:"yes"`
}

func (c *configPut) Execute([]string) error {
	content, err := readJSON(c.Args.File)
	if err != nil {
		return err
	}
	ctx, client := context.Background(), c.client()
	base, err := c.baseVersion(ctx, client)
	if err != nil {
		return err
	}
	return printChange(client.PutSheet(ctx, &operator.PutSheetPayload{Token: c.token(), EditID: optional(c.EditID), BasedOn: base, By: optional(c.By), Sheet: content}))
}

type configEdit struct {
	editFlags
	Args fileArg `positional-args:"yes" required:"yes"`
}

func (c *configEdit) Execute([]string) error {
	content, err := readJSON(c.Args.File)
	if err != nil {
		return err
	}
	var rows []struct {
		Op, Table string
		Row       json.RawMessage
	}
	if err := json.Unmarshal(content, &rows); err != nil {
		return exitError{exitInvalid, c.Args.File + `: not a list of {"op","table","row"}: ` + err.Error()}
	}
	var edits []*operator.RowEdit
	for _, r := range rows {
		edits = append(edits, &operator.RowEdit{Op: r.Op, Table: r.Table, Row: r.Row})
	}
	return c.sendEdits(edits)
}

type configDiff struct {
	remoteFlags
	Args fileArg `positional-args:"yes" required:"yes"`
}

func (c *configDiff) Execute([]string) error {
	content, err := readJSON(c.Args.File)
	if err != nil {
		return err
	}
	want, found := config.Read(content)
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

// parseConfig parses the configuration in a response of the operator API.
func parseConfig(v any) (*configpb.Sheet, error) {
	encoded, err := json.Marshal(v)
	if err != nil {
		return nil, err
	}
	s, found := config.Read(encoded)
	if len(found) > 0 {
		return nil, exitError{exitFailed, "the sheet in the node's response cannot be parsed: " + findingLines(found)}
	}
	return s, nil
}

// findingLines returns the findings as sorted lines of text.
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
	ctx, client := context.Background(), c.client()
	base, err := c.baseVersion(ctx, client)
	if err != nil {
		return err
	}
	return printChange(client.ReturnSheet(ctx, &operator.ReturnSheetPayload{Token: c.token(), EditID: optional(c.EditID), BasedOn: base, By: optional(c.By), Stamp: c.Args.Stamp}))
}
