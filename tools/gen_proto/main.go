// Command gen_proto compiles the proto files with a compiler written in Go and
// passes the descriptors to protoc-gen-go. It therefore needs no protoc binary.
package main

import (
	"bytes"
	"context"
	"log"
	"os"
	"os/exec"
	"path/filepath"
	"strings"

	"github.com/bufbuild/protocompile"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protodesc"
	"google.golang.org/protobuf/types/pluginpb"
)

func main() {
	c := protocompile.Compiler{
		Resolver:       &protocompile.SourceResolver{ImportPaths: []string{"api/proto"}},
		SourceInfoMode: protocompile.SourceInfoStandard,
	}
	names := []string{"sheet.proto", "routing.proto"}
	files, err := c.Compile(context.Background(), names...)
	must(err)
	req := &pluginpb.CodeGeneratorRequest{FileToGenerate: names, Parameter: proto.String("module=wallport")}
	for _, f := range files {
		req.ProtoFile = append(req.ProtoFile, protodesc.ToFileDescriptorProto(f))
	}
	in, err := proto.Marshal(req)
	must(err)
	cmd := exec.Command("go", "tool", "protoc-gen-go")
	cmd.Stdin, cmd.Stderr = bytes.NewReader(in), os.Stderr
	out, err := cmd.Output()
	must(err)
	var resp pluginpb.CodeGeneratorResponse
	must(proto.Unmarshal(out, &resp))
	if resp.Error != nil {
		log.Fatal(*resp.Error)
	}
	for _, f := range resp.File {
		name := strings.TrimPrefix(f.GetName(), "./")
		must(os.MkdirAll(filepath.Dir(name), 0o755))
		must(os.WriteFile(name, []byte(f.GetContent()), 0o644))
	}
}

func must(err error) {
	if err != nil {
		log.Fatal(err)
	}
}
