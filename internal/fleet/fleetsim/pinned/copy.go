package pinned

import (
	"fmt"
	"reflect"
	"sync"
	"unsafe"
)

// Keepers and checkers have no Clone of their own, and a search that plays a state anew from the beginning for each of its moves spends all
// its time on that. So a state of the small world is copied by its types: all that it points to, each once. What is agreed is shared, since a
// book changes no more once it stands in the list.

// apart are the fields that a copy begins without: what is kept for its next use, or until the next call.
var apart = map[string]bool{"sessionowner.Owner.out": true, "sessionowner.Owner.freeSessions": true, "sessionowner.Owner.freeQueries": true}

// shared are the types that a copy points to as the original does.
var shared = map[string]bool{"session.State": true, "reflect.rtype": true}

type copier struct {
	seen map[unsafe.Pointer]reflect.Value
}

// clone is an independent copy of a state.
func (s *small) clone() *small {
	t := *s
	c := copier{map[unsafe.Pointer]reflect.Value{}}
	c.mend(reflect.ValueOf(&t).Elem())
	return &t
}

var linked sync.Map // whether a type points to something that is to be copied

func points(t reflect.Type) bool {
	if p, ok := linked.Load(t); ok {
		return p.(bool)
	}
	p := false
	switch t.Kind() {
	case reflect.Struct:
		for i := range t.NumField() {
			p = p || points(t.Field(i).Type)
		}
	case reflect.Array:
		p = points(t.Elem())
	case reflect.Pointer:
		p = !shared[t.Elem().String()]
	case reflect.Map, reflect.Slice, reflect.Interface:
		p = true
	case reflect.Func, reflect.Chan:
		panic(fmt.Sprintf("pinned: a %s can't be copied", t))
	}
	linked.Store(t, p)
	return p
}

// mends are the fields of a struct at which something is to be done.
type mends struct {
	at    int
	apart bool
}

var mending sync.Map // of []mends, by type

func mendsOf(t reflect.Type) (out []mends) {
	if m, ok := mending.Load(t); ok {
		return m.([]mends)
	}
	for i := range t.NumField() {
		f := t.Field(i)
		if m := (mends{i, apart[t.String()+"."+f.Name]}); m.apart || points(f.Type) {
			out = append(out, m)
		}
	}
	mending.Store(t, out)
	return out
}

// open lets a field be set that is another package's.
func open(v reflect.Value) reflect.Value {
	return reflect.NewAt(v.Type(), v.Addr().UnsafePointer()).Elem()
}

// mend puts copies in place of all that v, a plain copy, points to.
func (c copier) mend(v reflect.Value) {
	t := v.Type()
	if !points(t) {
		return
	}
	switch t.Kind() {
	case reflect.Struct:
		for _, f := range mendsOf(t) {
			if f.apart {
				open(v.Field(f.at)).SetZero()
			} else {
				c.mend(open(v.Field(f.at)))
			}
		}
	case reflect.Array:
		for i := range v.Len() {
			c.mend(v.Index(i))
		}
	case reflect.Pointer:
		if v.IsNil() {
			return
		}
		at := v.UnsafePointer()
		if n, ok := c.seen[at]; ok {
			v.Set(n)
			return
		}
		n := reflect.New(t.Elem())
		n.Elem().Set(v.Elem())
		c.seen[at] = n
		v.Set(n)
		c.mend(n.Elem())
	case reflect.Slice:
		if v.IsNil() {
			return
		}
		n := reflect.MakeSlice(t, v.Len(), v.Len())
		reflect.Copy(n, v)
		v.Set(n)
		for i := range n.Len() {
			c.mend(n.Index(i))
		}
	case reflect.Map:
		if v.IsNil() {
			return
		}
		n := reflect.MakeMapWithSize(t, v.Len())
		for it := v.MapRange(); it.Next(); {
			e := reflect.New(t.Elem()).Elem()
			e.Set(it.Value())
			c.mend(e)
			n.SetMapIndex(it.Key(), e)
		}
		v.Set(n)
	case reflect.Interface:
		if v.IsNil() {
			return
		}
		if e := v.Elem(); e.Kind() != reflect.Pointer || points(e.Type()) && e.Type().String() != "*fmt.wrapError" && e.Type().String() != "*errors.errorString" {
			panic(fmt.Sprintf("pinned: a %s can't be copied", e.Type()))
		}
	}
}
