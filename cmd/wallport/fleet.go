package main

import (
	"context"
	"fmt"
	"os"
	"text/tabwriter"
	"time"

	"wallport/control/operations"
	"wallport/gen/operator"
)

// bookingCmd contains the sub-commands for bookings, which are rows of the configuration.
type bookingCmd struct {
	Add    bookingAdd    `command:"add" description:"book a slice of a pool for a window of time"`
	Remove bookingRemove `command:"remove" description:"remove a booking"`
}

type bookingAdd struct {
	editFlags
	ID    string `long:"id" required:"yes" description:"the booking's id"`
	Index string `long:"index" required:"yes" description:"the index whose pool it is of"`
	Kind  string `long:"kind" required:"yes" description:"search, read, correct or part"`
	Slice int    `long:"slice" required:"yes" description:"percentage of the pool's capacity"`
	From  string `long:"from" required:"yes" description:"start, as 2026-01-02T08:00:00Z"`
	To    string `long:"to" required:"yes" description:"end, likewise"`
}

func (c *bookingAdd) Execute([]string) error {
	from, err := time.Parse(time.RFC3339, c.From)
	if err != nil {
		return exitError{exitUsage, "--from: " + err.Error()}
	}
	to, err := time.Parse(time.RFC3339, c.To)
	if err != nil {
		return exitError{exitUsage, "--to: " + err.Error()}
	}
	row := map[string]any{"id": c.ID, "index": c.Index, "kind": c.Kind, "slice": c.Slice, "starts_us": fmt.Sprint(from.UnixMicro()), "ends_us": fmt.Sprint(to.UnixMicro())}
	return c.sendEdits([]*operator.RowEdit{{Op: "set", Table: "bookings", Row: row}})
}

type bookingRemove struct {
	editFlags
	ID string `long:"id" required:"yes" description:"the booking's id"`
}

func (c *bookingRemove) Execute([]string) error {
	return c.sendEdits([]*operator.RowEdit{{Op: "remove", Table: "bookings", Row: map[string]any{"id": c.ID}}})
}

// zoneCmd contains the sub-commands that drain and restore a zone.
type zoneCmd struct {
	Drain   zoneDrain   `command:"empty" description:"give a zone's back ends no more work"`
	Restore zoneRestore `command:"refill" description:"give them work again"`
}

type zoneArg struct {
	Zone string `positional-arg-name:"ZONE"`
}

type zoneDrain struct {
	editFlags
	Args zoneArg `positional-args:"yes" required:"yes"`
}

type zoneRestore struct {
	editFlags
	Args zoneArg `positional-args:"yes" required:"yes"`
}

func (e editFlags) changeZone(zone, action string) error {
	return printChange(e.client().Zone(context.Background(), &operator.ZonePayload{Token: e.token(), EditID: optional(e.EditID), By: optional(e.By), Zone: zone, Action: action}))
}

func (c *zoneDrain) Execute([]string) error   { return c.changeZone(c.Args.Zone, "empty") }
func (c *zoneRestore) Execute([]string) error { return c.changeZone(c.Args.Zone, "refill") }

// reshardCmd moves an index to another shard map.
type reshardCmd struct {
	editFlags
	Args struct {
		Index  string `positional-arg-name:"INDEX"`
		Cut    string `positional-arg-name:"CUT"`
		Shards int    `positional-arg-name:"SHARDS"`
	} `positional-args:"yes" required:"yes"`
}

func (c *reshardCmd) Execute([]string) error {
	return printChange(c.client().Cut(context.Background(), &operator.CutPayload{
		Token: c.token(), EditID: optional(c.EditID), By: optional(c.By), Index: c.Args.Index, Cut: c.Args.Cut, Shards: c.Args.Shards,
	}))
}

// rebuildCmd rebuilds the replica group of a partition of the control state, after a majority of its disks was lost.
type rebuildCmd struct {
	editFlags
	Sure bool `long:"the-old-disks-are-gone" required:"yes" description:"say that the lost disks will never come back"`
	Args struct {
		Part int `positional-arg-name:"PART"`
	} `positional-args:"yes" required:"yes"`
}

func (c *rebuildCmd) Execute([]string) error {
	return printChange(c.client().Rebuild(context.Background(), &operator.RebuildPayload{Token: c.token(), By: optional(c.By), Part: c.Args.Part}))
}

// membersCmd lists the processes of the fleet and then the replicas of the control state.
type membersCmd struct{ remoteFlags }

func (c *membersCmd) Execute([]string) error {
	list, err := c.client().Members(context.Background(), &operator.MembersPayload{Token: c.token()})
	if err != nil {
		return commandError(err)
	}
	w := tabwriter.NewWriter(os.Stdout, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, "NAME\tROLE\tZONE\tLIVE\tDRAINING\tSICK\tIN FORCE\tMESH")
	for _, m := range list {
		fmt.Fprintf(w, "%s\t%s\t%s\t%t\t%t\t%s\t%s\t%s\n", m.Name, m.Role, m.Zone, m.Live, isTrue(m.Draining), orDash(m.Sick), m.InForce, m.Addr)
	}
	if err := w.Flush(); err != nil {
		return err
	}
	return c.replicas()
}

// replicas prints one line for each replica, with its partition and core.
func (c *membersCmd) replicas() error {
	list, err := c.client().Replicas(context.Background(), &operator.ReplicasPayload{Token: c.token()})
	if err != nil {
		return commandError(err)
	}
	w := tabwriter.NewWriter(os.Stdout, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, "\nPART\tCORE\tSTATE\tCONTACT\tTERM\tVERSION\tBEHIND\tVOTERS\tCHANGE")
	for _, r := range list {
		if r.State == operations.StateTimedOut {
			fmt.Fprintf(w, "%d\t%s\t%s\t-\t-\t-\t-\t-\t-\n", r.Part, r.Core, r.State)
			continue
		}
		fmt.Fprintf(w, "%d\t%s\t%s\t%t\t%d\t%s\t%d\t%d\t%s\n", r.Part, r.Core, r.State, r.Contact, r.Term, r.Version, r.Behind, r.Voters, orDash(&r.Change))
	}
	return w.Flush()
}

// isTrue reports whether an optional field is set and true.
func isTrue(b *bool) bool { return b != nil && *b }

// orDash returns the value of an optional field, or "-" if it is not set or empty.
func orDash(s *string) string {
	if s == nil || *s == "" {
		return "-"
	}
	return *s
}

// backendsCmd lists the backends with their health.
type backendsCmd struct{ remoteFlags }

func (c *backendsCmd) Execute([]string) error {
	list, err := c.client().Servers(context.Background(), &operator.ServersPayload{Token: c.token()})
	if err != nil {
		return commandError(err)
	}
	w := tabwriter.NewWriter(os.Stdout, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, "ID\tINDEX\tCUT\tSHARD\tZONE\tVERDICT\tWARM\tADDRESS")
	for _, s := range list {
		fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%s\t%s\t%d%%\t%s\n", s.ID, s.Index, s.Cut, s.Shard, s.Zone, s.Verdict, s.Warm, s.Addr)
	}
	return w.Flush()
}

// explainCmd prints the trace of a request.
type explainCmd struct {
	remoteFlags
	Args struct {
		ID string `positional-arg-name:"ID" description:"the inquiry's id, as an answer or a failure shows it"`
	} `positional-args:"yes" required:"yes"`
}

func (c *explainCmd) Execute([]string) error {
	v, err := c.client().Explain(context.Background(), &operator.ExplainPayload{Token: c.token(), ID: c.Args.ID})
	if err != nil {
		return commandError(err)
	}
	return printJSON(v)
}
