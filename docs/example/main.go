// Command example asks a wallport node with the client that goa generates from
// the project's own schema: go run ./docs/example 127.0.0.1:8080 scores tabla
package main

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"os"
	"time"

	goahttp "goa.design/goa/v3/http"

	"wallport/gen/caller"
	"wallport/gen/http/caller/client"
)

func main() {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: example ADDRESS INDEX QUERY")
		os.Exit(2)
	}
	c := client.NewClient("http", os.Args[1], &http.Client{Timeout: 5 * time.Second}, goahttp.RequestEncoder, goahttp.ResponseDecoder, false)
	deadline := int64(500_000)
	v, err := c.Search()(context.Background(), &caller.SearchPayload{Index: os.Args[2], Query: os.Args[3], Limit: 5, DeadlineUs: &deadline})
	var f *caller.Failure
	if errors.As(err, &f) {
		// Code, whether it ran, and when to come back.
		fmt.Fprintln(os.Stderr, f.Name, f.Message, "ran:", f.Ran)
		os.Exit(1)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	for _, r := range v.(*caller.Merged).Records {
		fmt.Println(r.Score, r.ID)
	}
}
