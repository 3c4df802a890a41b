// The fingerprint of a replica: every field of its state machine, read by reflection. New fields are therefore
// included without a change here.

package model

import (
	"crypto/sha256"
	"encoding/binary"
	"math"
	"reflect"
)

type digest [16]byte

func digestOf(b []byte) (d digest) {
	sum := sha256.Sum256(b)
	copy(d[:], sum[:])
	return d
}

// walker serializes a value. It skips pointers to structs of other packages, except message types: the process
// itself, its mesh and its membership table are either the same in every state or added by the caller. It also
// skips functions: the input that requested a pending write determines what the completion of the write does.
type walker struct {
	ownPackage string
	out        []byte
	visited    map[uintptr]uint64
}

// fingerprint serializes the state of a process's plug-in.
func fingerprint(plugin any) []byte {
	v := reflect.ValueOf(plugin)
	w := &walker{ownPackage: v.Type().Elem().PkgPath(), visited: map[uintptr]uint64{}, out: make([]byte, 0, 4096)}
	w.walk(v)
	return w.out
}

func (w *walker) number(n uint64) { w.out = binary.AppendUvarint(w.out, n) }

func (w *walker) walk(v reflect.Value) {
	switch v.Kind() {
	case reflect.Bool:
		w.number(uint64(boolInt(v.Bool())))
	case reflect.Int, reflect.Int8, reflect.Int16, reflect.Int32, reflect.Int64:
		w.number(uint64(v.Int()))
	case reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64, reflect.Uintptr:
		w.number(v.Uint())
	case reflect.Float32, reflect.Float64:
		w.number(math.Float64bits(v.Float()))
	case reflect.String:
		w.number(uint64(v.Len()))
		w.out = append(w.out, v.String()...)
	case reflect.Pointer:
		w.pointer(v)
	case reflect.Interface:
		w.number(uint64(boolInt(v.IsNil())))
		if !v.IsNil() {
			w.walk(v.Elem())
		}
	case reflect.Struct:
		for i := range v.NumField() {
			w.walk(v.Field(i))
		}
	case reflect.Slice, reflect.Array:
		w.list(v)
	case reflect.Map:
		w.table(v)
	}
}

func (w *walker) pointer(v reflect.Value) {
	if v.IsNil() {
		w.number(0)
		return
	}
	elem := v.Type().Elem()
	if elem.Kind() == reflect.Struct && elem.PkgPath() != w.ownPackage && !isMessage(elem.PkgPath()) {
		w.number(1)
		return
	}
	if n, ok := w.visited[v.Pointer()]; ok {
		w.number(n)
		return
	}
	w.visited[v.Pointer()] = uint64(len(w.visited)) + 2
	w.number(1)
	w.walk(v.Elem())
}

func (w *walker) list(v reflect.Value) {
	w.number(uint64(v.Len()))
	if v.Type().Elem().Kind() == reflect.Uint8 && v.Kind() == reflect.Slice {
		w.out = append(w.out, v.Bytes()...)
		return
	}
	for i := range v.Len() {
		w.walk(v.Index(i))
	}
}

// table combines the hashes of a map's entries with XOR, so that the order of iteration does not matter.
func (w *walker) table(v reflect.Value) {
	w.number(uint64(v.Len()))
	var sum digest
	for entries := v.MapRange(); entries.Next(); {
		entry := &walker{ownPackage: w.ownPackage, visited: w.visited}
		entry.walk(entries.Key())
		entry.walk(entries.Value())
		d := digestOf(entry.out)
		for i := range sum {
			sum[i] ^= d[i]
		}
	}
	w.out = append(w.out, sum[:]...)
}

func boolInt(b bool) int {
	if b {
		return 1
	}
	return 0
}
