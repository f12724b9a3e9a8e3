package schema

import (
	"errors"
	"strings"
	"testing"
)

type inner struct {
	Wait float64 `json:"wait_ms" min:"0" max:"10" unit:"ms"`
	Mode string  `json:"mode" enum:"fast,slow"`
}

type outer struct {
	Name  string           `json:"name" need:"true" len:"2"`
	Count int              `json:"count" min:"1"`
	On    bool             `json:"on"`
	In    *inner           `json:"in"`
	Each  []inner          `json:"each"`
	By    map[string]inner `json:"by"`
	Nums  []int            `json:"nums" max:"3"`
	kept  int
}

func readAll(raw []byte, into any) error {
	tree, err := Tree(raw)
	if err != nil {
		return err
	}
	var ms Mistakes
	Decode(tree, "$", into, &ms)
	return ms.Err()
}

func TestEveryMistakeAtOnce(t *testing.T) {
	var o outer
	err := readAll([]byte(`{"count":1.5,"on":"yes","in":{"wait_ms":11,"mode":"fsat"},"each":[{},{"wiat_ms":1}],"by":{"a b":{"mode":1}},
		"nums":[1,4],"kept":1,"name":null}`), &o)
	var ms Mistakes
	if !errors.As(err, &ms) || len(ms) != 9 {
		t.Fatalf("%d mistakes: %v", len(ms), err)
	}
	for _, want := range []string{
		"$.count: 1.5 stands there; a whole number belongs there",
		`$.on: "yes" stands there; true or false belongs there`,
		"$.in.wait_ms: 11 stands there; from 0 to 10 ms is right",
		`$.in.mode: "fsat" stands there; "fsat" is not known; is "fast" meant?`,
		`$.each[1].wiat_ms: 1 stands there; "wiat_ms" is not known; is "wait_ms" meant?`,
		`$.by."a b".mode: 1 stands there; one of fast, slow belongs there`,
		"$.nums[1]: 4 stands there; at most 3 is right",
		"$.name: is missing; a text belongs there",
		`$.kept: 1 stands there; "kept" is not known`,
	} {
		if !strings.Contains(err.Error(), want) {
			t.Errorf("no %q in\n%v", want, err)
		}
	}
	if o.kept != 0 {
		t.Errorf("the unexported field kept was written: %d", o.kept)
	}
}

func TestGoodValues(t *testing.T) {
	var o outer
	err := readAll([]byte(`{"name":"ab","count":2,"on":true,"in":{"wait_ms":2.5,"mode":"slow"},"each":[{"wait_ms":0}],"by":{"x":{}},"nums":[]}`), &o)
	if err != nil || o.In.Wait != 2.5 || o.Count != 2 || !o.On || len(o.Each) != 1 || o.By["x"].Mode != "" {
		t.Errorf("%v, %+v", err, o)
	}
}

func TestWhatIsNoJSON(t *testing.T) {
	for text, want := range map[string]string{
		`{"name":`: "unexpected end", `{"name":"ab"} {}`: "something follows", "{\n\n;}": "line 3", "": "unexpected end",
		`{"count":1e999,"name":"ab"}`: "no number that can be held",
	} {
		var o outer
		if err := readAll([]byte(text), &o); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%q: %v", text, err)
		}
	}
}

// Depth and the count of mistakes are bounded, whatever the text.
func TestBounds(t *testing.T) {
	type list struct {
		L []struct{} `json:"l"`
	}
	var l list
	err := readAll([]byte(`{"l":[`+strings.Repeat("1,", 5000)+`1]}`), &l)
	var ms Mistakes
	if !errors.As(err, &ms) || len(ms) != mistakeMost {
		t.Errorf("%d mistakes", len(ms))
	}
}
