package fleetsim

import (
	"fmt"
	"reflect"
	"unsafe"
)

// The search branches at states of the pure packages that it can't take apart: it copies them whole, fields
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
