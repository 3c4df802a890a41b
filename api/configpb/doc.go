// Package configpb is the generated form of the operators' configuration; its schema is api/proto/sheet.proto.
package configpb
