package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"strings"
	"time"

	goahttp "goa.design/goa/v3/http"

	"wallport/gen/http/operator/client"
	"wallport/gen/operator"
	"wallport/request/httpapi"
)

// requestTimeout limits the duration of a call of the operator API.
const requestTimeout = 15 * time.Second

// remoteFlags select the node to call and the operator token to send.
type remoteFlags struct {
	Addr  string `long:"operator" description:"IP:port of any node's operator API" default:"127.0.0.1:9001" env:"WALLPORT_OPERATOR"`
	Token string `long:"operator-token" description:"the operator token" env:"WALLPORT_OPERATOR_TOKEN"`
}

func (r remoteFlags) client() *operator.Client {
	c := client.NewClient("http", r.Addr, &http.Client{Timeout: requestTimeout}, goahttp.RequestEncoder, goahttp.ResponseDecoder, false)
	return operator.NewClient(
		c.Sheet(), c.PutSheet(), c.CheckSheet(), c.History(), c.ReturnSheet(), c.EditSheet(), c.Zone(), c.Cut(),
		c.Rebuild(), c.Members(), c.Replicas(), c.Servers(), c.Explain(),
	)
}

// token returns the value of the Authorization header, nil if no token is set.
func (r remoteFlags) token() *string {
	if r.Token == "" {
		return nil
	}
	header := "Bearer " + r.Token
	return &header
}

// optional returns the value of an optional field: nil for an empty string.
func optional(s string) *string {
	if s == "" {
		return nil
	}
	return &s
}

// exitCodes maps the names of failures to exit codes. The exit code of any other failure is exitFailed.
var exitCodes = map[string]int{
	httpapi.FailureMalformed:      exitInvalid,
	httpapi.FailureConflict:       exitInvalid,
	httpapi.FailureLostRace:       exitLostRace,
	httpapi.FailureOutcomeUnknown: exitUnknown,
	httpapi.FailureOverloaded:     exitOverloaded,
}

// commandError converts an error of the operator API to an exitError with its message, findings and exit code.
func commandError(err error) error {
	var failure *operator.Failure
	if !errors.As(err, &failure) {
		return exitError{exitFailed, err.Error()}
	}
	lines := []string{failure.Name + ": " + failure.Message}
	for _, finding := range failure.Findings {
		lines = append(lines, finding.Place+": "+finding.Text)
	}
	if failure.Stamp != nil {
		lines = append(lines, "stamp in force: "+*failure.Stamp)
	}
	code, known := exitCodes[failure.Name]
	if !known {
		code = exitFailed
	}
	return exitError{code, strings.Join(lines, "\n")}
}

func printJSON(v any) error {
	encoder := json.NewEncoder(os.Stdout)
	encoder.SetIndent("", "  ")
	return encoder.Encode(v)
}

// printChange prints the result of a change, or returns its error.
func printChange(t *operator.Taken, err error) error {
	if err != nil {
		return commandError(err)
	}
	fmt.Printf("stamp=%s in_force=%d laggards=%s\n", t.Stamp, t.InForce, strings.Join(t.Laggards, ","))
	return nil
}

// adminCmd contains the sub-commands of admin.
type adminCmd struct {
	Config   configCmd   `command:"sheet" description:"get, check, put or edit the sheet"`
	Booking  bookingCmd  `command:"booking" description:"add or remove a booking"`
	Zone     zoneCmd     `command:"zone" description:"empty or refill a zone"`
	Reshard  reshardCmd  `command:"cut" description:"move an index to another cut"`
	Members  membersCmd  `command:"members" description:"list processes with the stamp each has in force, and the replicas of the control state with contact, term, version and lag"`
	Rebuild  rebuildCmd  `command:"rebuild" description:"make a part's group anew after a majority of its disks is gone for good"`
	Backends backendsCmd `command:"servers" description:"list back ends and the verdict on each"`
}

// editFlags are the flags of all commands that change the state of the fleet.
type editFlags struct {
	remoteFlags
	EditID  string `long:"edit-id" description:"id under which a retry of this edit gets the first answer"`
	BasedOn string `long:"based-on" description:"stamp of the sheet that the edit is based on; by default the one in force now"`
	By      string `long:"by" description:"who, for the audit" env:"USER"`
}

// baseVersion returns the version that the edit is based on: that of --based-on or, without it, the version in force.
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

// sendEdits sends row edits as one change and prints the result.
func (e editFlags) sendEdits(edits []*operator.RowEdit) error {
	ctx, client := context.Background(), e.client()
	base, err := e.baseVersion(ctx, client)
	if err != nil {
		return err
	}
	return printChange(client.EditSheet(ctx, &operator.EditSheetPayload{
		Token: e.token(), EditID: optional(e.EditID), BasedOn: base, By: optional(e.By), Edits: edits,
	}))
}
