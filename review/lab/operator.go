package main

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"
)

// operator calls the control addresses as described in PROTOCOL.md, "The operator".
type operator struct {
	f      *fleet
	client *http.Client
	// machines are the machines whose control addresses the operator knows.
	machines []int
}

func newOperator(f *fleet) *operator {
	o := &operator{f: f, client: &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}}
	for machine := range f.machines {
		o.machines = append(o.machines, machine)
	}
	return o
}

// call sends one request to one machine. The status is 0 if no complete response arrives within a second. A negative
// match sends no If-Match header.
func (o *operator) call(machine int, method, path string, match int, body []byte) (int, []byte) {
	req, err := http.NewRequestWithContext(context.Background(), method, "http://"+o.f.address(machine, offsetControl)+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	if match >= 0 {
		req.Header.Set("If-Match", strconv.Itoa(match))
		req.Header.Set("Content-Type", "application/json")
	}
	resp, err := o.client.Do(req)
	if err != nil {
		return 0, nil
	}
	defer resp.Body.Close()
	answer, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, nil
	}
	return resp.StatusCode, answer
}

// submit sends an edit to the machines in turn, beginning with first, until one of them acknowledges it or refuses it
// with a final status, or until the timeout. It returns the last status.
func (o *operator) submit(first int, method, path string, match int, body []byte, timeout time.Duration) int {
	pause, status := 50*time.Millisecond, 0
	for end, i := time.Now().Add(timeout), first; time.Now().Before(end); i++ {
		machine := o.machines[i%len(o.machines)]
		status, _ = o.call(machine, method, path, match, body)
		o.f.rec.event("operator: %s %s If-Match %d at machine %d: %d", method, path, match, machine, status)
		if status == http.StatusOK || status == 400 || status == 409 || status == 412 || status == 413 || status == 422 {
			return status
		}
		time.Sleep(pause)
		pause = min(2*pause, time.Second)
	}
	return status
}

// revisionAt reads the configuration from one machine and returns its revision, or 0 if there is none.
func (o *operator) revisionAt(machine int) (revision, status int) {
	status, body := o.call(machine, http.MethodGet, "/-/config", -1, nil)
	var config struct{ Revision int }
	if status == http.StatusOK && json.Unmarshal(body, &config) == nil {
		revision = config.Revision
	}
	return revision, status
}

// readBack requests the configuration from all machines every 250 ms until one of them returns a revision. It returns
// 0 after the timeout.
func (o *operator) readBack(timeout time.Duration) (revision int) {
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(250 * time.Millisecond) {
		for _, machine := range o.machines {
			revision, status := o.revisionAt(machine)
			o.f.rec.event("operator: GET /-/config at machine %d: %d, revision %d", machine, status, revision)
			if revision > 0 {
				return revision
			}
		}
	}
	return 0
}
