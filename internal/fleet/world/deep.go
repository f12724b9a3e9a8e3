package world

import (
	"encoding/binary"
	"fmt"
	"hash"
	"reflect"
	"sort"
	"unsafe"
)

// The search branches at states of the pure packages that it can't take apart: it copies and digests them whole, fields
// that are not exported too. They hold values, slices, maps, pointers and interfaces; no functions and no channels.

// deepCopy copies the value and all that it leads to; what is shared in it stays shared in the copy.
func deepCopy[T any](v T) T {
	src := reflect.ValueOf(&v).Elem()
	var dst T
	copyInto(reflect.ValueOf(&dst).Elem(), src, map[unsafe.Pointer]reflect.Value{})
	return dst
}

// open makes a field that is not exported readable and writable. v must be addressable.
func open(v reflect.Value) reflect.Value {
	return reflect.NewAt(v.Type(), unsafe.Pointer(v.UnsafeAddr())).Elem()
}

func copyInto(dst, src reflect.Value, seen map[unsafe.Pointer]reflect.Value) {
	switch src.Kind() {
	case reflect.Pointer:
		if src.IsNil() {
			return
		}
		at := src.UnsafePointer()
		if old, ok := seen[at]; ok {
			dst.Set(old)
			return
		}
		fresh := reflect.New(src.Type().Elem())
		seen[at] = fresh
		copyInto(fresh.Elem(), src.Elem(), seen)
		dst.Set(fresh)
	case reflect.Interface:
		if src.IsNil() {
			return
		}
		inner := reflect.New(src.Elem().Type()).Elem()
		held := reflect.New(src.Elem().Type()).Elem()
		held.Set(src.Elem())
		copyInto(inner, held, seen)
		dst.Set(inner)
	case reflect.Struct:
		for i := range src.NumField() {
			copyInto(open(dst.Field(i)), open(src.Field(i)), seen)
		}
	case reflect.Slice:
		if src.IsNil() {
			return
		}
		fresh := reflect.MakeSlice(src.Type(), src.Len(), src.Len())
		if plain(src.Type().Elem()) {
			reflect.Copy(fresh, src)
		} else {
			for i := range src.Len() {
				copyInto(fresh.Index(i), src.Index(i), seen)
			}
		}
		dst.Set(fresh)
	case reflect.Array:
		for i := range src.Len() {
			copyInto(dst.Index(i), src.Index(i), seen)
		}
	case reflect.Map:
		if src.IsNil() {
			return
		}
		fresh := reflect.MakeMapWithSize(src.Type(), src.Len())
		for it := src.MapRange(); it.Next(); {
			key, val := reflect.New(src.Type().Key()).Elem(), reflect.New(src.Type().Elem()).Elem()
			from := reflect.New(src.Type().Elem()).Elem()
			from.Set(it.Value())
			key.Set(it.Key())
			copyInto(val, from, seen)
			fresh.SetMapIndex(key, val)
		}
		dst.Set(fresh)
	case reflect.Func, reflect.Chan, reflect.UnsafePointer:
		if !src.IsNil() {
			panic(fmt.Sprintf("world: a %s can't be copied", src.Type()))
		}
	default:
		dst.Set(src)
	}
}

// plain says that values of the type hold no reference to anything that changes.
func plain(t reflect.Type) bool {
	switch t.Kind() {
	case reflect.Pointer, reflect.Interface, reflect.Slice, reflect.Map, reflect.Func, reflect.Chan, reflect.UnsafePointer:
		return false
	case reflect.Struct:
		for i := range t.NumField() {
			if !plain(t.Field(i).Type) {
				return false
			}
		}
	case reflect.Array:
		return plain(t.Elem())
	}
	return true
}

// deepDigest writes the value and all that it leads to, maps in the order of their keys' text.
func deepDigest(h hash.Hash, v any) {
	digestOf(h, reflect.ValueOf(v), map[unsafe.Pointer]int{})
}

func digestOf(h hash.Hash, v reflect.Value, seen map[unsafe.Pointer]int) {
	word := func(x uint64) {
		var b [8]byte
		binary.LittleEndian.PutUint64(b[:], x)
		h.Write(b[:])
	}
	switch v.Kind() {
	case reflect.Pointer:
		if v.IsNil() {
			word(0)
			return
		}
		if n, ok := seen[v.UnsafePointer()]; ok {
			word(uint64(n))
			return
		}
		seen[v.UnsafePointer()] = len(seen) + 1
		digestOf(h, v.Elem(), seen)
	case reflect.Interface:
		if v.IsNil() {
			word(0)
			return
		}
		h.Write([]byte(v.Elem().Type().String()))
		digestOf(h, v.Elem(), seen)
	case reflect.Struct:
		for i := range v.NumField() {
			digestOf(h, v.Field(i), seen)
		}
	case reflect.Slice, reflect.Array:
		word(uint64(v.Len()))
		for i := range v.Len() {
			digestOf(h, v.Index(i), seen)
		}
	case reflect.Map:
		keys := v.MapKeys()
		sort.Slice(keys, func(i, j int) bool { return fmt.Sprint(keys[i]) < fmt.Sprint(keys[j]) })
		word(uint64(len(keys)))
		for _, k := range keys {
			digestOf(h, k, seen)
			digestOf(h, v.MapIndex(k), seen)
		}
	case reflect.String:
		word(uint64(v.Len()))
		h.Write([]byte(v.String()))
	case reflect.Bool:
		if v.Bool() {
			word(2)
		} else {
			word(1)
		}
	case reflect.Int, reflect.Int8, reflect.Int16, reflect.Int32, reflect.Int64:
		word(uint64(v.Int()))
	case reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		word(v.Uint())
	case reflect.Float32, reflect.Float64:
		h.Write([]byte(fmt.Sprint(v.Float())))
	default:
		panic(fmt.Sprintf("world: a %s can't be digested", v.Type()))
	}
}
