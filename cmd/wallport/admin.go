// The operator's client, on the client code that goa generates.

package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"time"

	goahttp "goa.design/goa/v3/http"

	"wallport/gen/http/operator/client"
	"wallport/gen/operator"
)

type remoteFlags struct {
	Addr  string `long:"operator" description:"IP:port of any node's operator API" default:"127.0.0.1:9001" env:"WALLPORT_OPERATOR"`
	Token string `long:"operator-token" description:"the operator token" env:"WALLPORT_OPERATOR_TOKEN"`
}

func (r remoteFlags) client() *operator.Client {
	c := client.NewClient("http", r.Addr, &http.Client{Timeout: 15 * time.Second}, goahttp.RequestEncoder, goahttp.ResponseDecoder, false)
	return operator.NewClient(c.Sheet(), c.PutSheet(), c.CheckSheet(), c.History(), c.ReturnSheet(), c.EditSheet(), c.Zone(), c.Cut(), c.Rebuild(), c.Members(), c.Replicas(), c.Servers(), c.Explain())
}

func (r remoteFlags) token() *string {
	if r.Token == "" {
		return nil
	}
	t := "Bearer " + r.Token
	return &t
}

func optional(s string) *string {
	if s == "" {
		return nil
	}
	return &s
}

// commandError turns a failure into a message and the exit code it means.
func commandError(err error) error {
	var f *operator.Failure
	if !errors.As(err, &f) {
		return exitError{exitFailed, err.Error()}
	}
	lines := []string{f.Name + ": " + f.Message}
	for _, v := range f.Findings {
		lines = append(lines, v.Place+": "+v.Text)
	}
	if f.Stamp != nil {
		lines = append(lines, "stamp in force: "+*f.Stamp)
	}
	codes := map[string]int{"malformed": exitInvalid, "conflict": exitInvalid, "lost_race": exitLostRace, "outcome_unknown": exitUnknown, "shed": exitOverloaded}
	code := exitFailed
	if c, ok := codes[f.Name]; ok {
		code = c
	}
	return exitError{code, strings.Join(lines, "\n")}
}

func printJSON(v any) error {
	e := json.NewEncoder(os.Stdout)
	e.SetIndent("", "  ")
	return e.Encode(v)
}

func printTaken(t *operator.Taken, err error) error {
	if err != nil {
		return commandError(err)
	}
	fmt.Printf("stamp=%s in_force=%d laggards=%s\n", t.Stamp, t.InForce, strings.Join(t.Laggards, ","))
	return nil
}

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

type adminCmd struct {
	Config   configCmd   `command:"sheet" description:"get, check, put or edit the sheet"`
	Booking  bookingCmd  `command:"booking" description:"add or remove a booking"`
	Zone     zoneCmd     `command:"zone" description:"empty or refill a zone"`
	Reshard  reshardCmd  `command:"cut" description:"move an index to another cut"`
	Members  membersCmd  `command:"members" description:"list processes with the stamp each has in force, and the replicas of the control state with contact, term, version and lag"`
	Rebuild  rebuildCmd  `command:"rebuild" description:"make a part's group anew after a majority of its disks is gone for good"`
	Backends backendsCmd `command:"servers" description:"list back ends and the verdict on each"`
}

type configCmd struct {
	Get     configGet     `command:"get" description:"show the sheet and its stamp"`
	Check   configCheck   `command:"check" description:"check a sheet file without changing anything"`
	Put     configPut     `command:"put" description:"put a whole sheet"`
	Edit    configEdit    `command:"edit" description:"set or remove single rows"`
	Diff    configDiff    `command:"diff" description:"what a sheet file would change"`
	History configHistory `command:"history" description:"list the sheets that were in force"`
	Revert  configRevert  `command:"return" description:"put an earlier sheet in force again, under a new stamp"`
}

type editFlags struct {
	remoteFlags
	EditID  string `long:"edit-id" description:"id under which a retry of this edit gets the first answer"`
	BasedOn string `long:"based-on" description:"stamp of the sheet that the edit is based on; by default the one in force now"`
	By      string `long:"by" description:"who, for the audit" env:"USER"`
}

// baseVersion is the stamp given, or the one in force.
func (e editFlags) baseVersion(ctx context.Context, c *operator.Client) (*string, error) {
	if e.BasedOn != "" {
		return &e.BasedOn, nil
	}
	now, err := c.Sheet(ctx, &operator.SheetPayload{Token: e.token()})
	if err != nil {
		return nil, commandError(err)
	}
	return &now.Stamp, nil
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
	b, err := readJSON(c.Args.File)
	if err != nil {
		return err
	}
	found, err := c.client().CheckSheet(context.Background(), &operator.CheckSheetPayload{Token: c.token(), Sheet: b})
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
	b, err := readJSON(c.Args.File)
	if err != nil {
		return err
	}
	ctx, cl := context.Background(), c.client()
	base, err := c.baseVersion(ctx, cl)
	if err != nil {
		return err
	}
	return printTaken(cl.PutSheet(ctx, &operator.PutSheetPayload{Token: c.token(), EditID: optional(c.EditID), BasedOn: base, By: optional(c.By), Sheet: b}))
}

type configEdit struct {
	editFlags
	Args fileArg `positional-args:"yes" required:"yes"`
}

func (c *configEdit) Execute([]string) error {
	b, err := readJSON(c.Args.File)
	if err != nil {
		return err
	}
	var rows []struct {
		Op, Table string
		Row       json.RawMessage
	}
	if err := json.Unmarshal(b, &rows); err != nil {
		return exitError{exitInvalid, c.Args.File + `: not a list of {"op","table","row"}: ` + err.Error()}
	}
	var edits []*operator.RowEdit
	for _, r := range rows {
		edits = append(edits, &operator.RowEdit{Op: r.Op, Table: r.Table, Row: r.Row})
	}
	return c.sendEdits(edits)
}

// sendEdits bases row edits on the sheet in force, or on the stamp given.
func (e editFlags) sendEdits(edits []*operator.RowEdit) error {
	ctx, cl := context.Background(), e.client()
	base, err := e.baseVersion(ctx, cl)
	if err != nil {
		return err
	}
	return printTaken(cl.EditSheet(ctx, &operator.EditSheetPayload{Token: e.token(), EditID: optional(e.EditID), BasedOn: base, By: optional(e.By), Edits: edits}))
}
