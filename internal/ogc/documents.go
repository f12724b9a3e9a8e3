package ogc

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"mime"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/paulmach/orb/geojson"
	"github.com/paulmach/orb/project"
	"github.com/sirupsen/logrus"

	"birchcart/internal/cql"
	"birchcart/internal/feature"
)

// Media types.
const (
	plainJSON   = "application/json"
	geoJSON     = "application/geo+json"
	problemJSON = "application/problem+json"
	schemaJSON  = "application/schema+json"
	openAPIJSON = "application/vnd.oai.openapi+json;version=3.0"
	htmlText    = "text/html; charset=utf-8"
)

// conformance names the requirement classes that hold; docs/operators/ogc.md has a test for each.
var conformance = []string{
	"http://www.opengis.net/spec/ogcapi-features-1/1.0/conf/core",
	"http://www.opengis.net/spec/ogcapi-features-1/1.0/conf/geojson",
	"http://www.opengis.net/spec/ogcapi-features-1/1.0/conf/html",
	"http://www.opengis.net/spec/ogcapi-features-1/1.0/conf/oas30",
	"http://www.opengis.net/spec/ogcapi-features-2/1.0/conf/crs",
	"http://www.opengis.net/spec/ogcapi-features-3/1.0/conf/queryables",
	"http://www.opengis.net/spec/ogcapi-features-3/1.0/conf/filter",
	"http://www.opengis.net/spec/ogcapi-features-3/1.0/conf/features-filter",
	"http://www.opengis.net/spec/cql2/1.0/conf/cql2-text",
}

type link struct {
	Href  string `json:"href"`
	Rel   string `json:"rel"`
	Type  string `json:"type,omitempty"`
	Title string `json:"title,omitempty"`
}

type landingForm struct {
	Title       string `json:"title"`
	Description string `json:"description,omitempty"`
	Links       []link `json:"links"`
}

type conformanceForm struct {
	ConformsTo []string `json:"conformsTo"`
}

type collectionsForm struct {
	Links       []link            `json:"links"`
	Collections []*collectionForm `json:"collections"`
}

type collectionForm struct {
	ID          string     `json:"id"`
	Title       string     `json:"title"`
	Description string     `json:"description,omitempty"`
	Extent      extentForm `json:"extent"`
	ItemType    string     `json:"itemType"`
	CRS         []string   `json:"crs"`
	StorageCRS  string     `json:"storageCrs"`
	Links       []link     `json:"links"`
}

type extentForm struct {
	Spatial struct {
		BBox [][]float64 `json:"bbox"`
		CRS  string      `json:"crs"`
	} `json:"spatial"`
}

// problem is an RFC 7807 document.
type problem struct {
	Type      string `json:"type"`
	Title     string `json:"title"`
	Status    int    `json:"status"`
	Detail    string `json:"detail,omitempty"`
	Parameter string `json:"parameter,omitempty"`
}

// handler routes requests. Each goes by the snapshot that is in force when it comes.
func (s *Server) handler() http.Handler {
	mux := http.NewServeMux()
	on := func(path string, do func(*call) error) {
		mux.HandleFunc(path, func(w http.ResponseWriter, r *http.Request) { s.serve(w, r, do) })
	}
	on("/{$}", (*call).landing)
	on("/conformance", (*call).conformance)
	on("/api", (*call).api)
	on("/collections", (*call).collectionList)
	on("/collections/{collection}", (*call).collection)
	on("/collections/{collection}/queryables", (*call).queryables)
	on("/collections/{collection}/items", (*call).items)
	on("/collections/{collection}/items/{feature}", (*call).item)
	on("/", func(c *call) error { return &status{http.StatusNotFound, "there is nothing at " + c.r.URL.Path} })
	return mux
}

// status is a plain refusal of ours.
type status struct {
	code int
	why  string
}

func (s *status) Error() string { return s.why }

// call is one request.
type call struct {
	s    *Server
	now  *snapshot
	w    http.ResponseWriter
	r    *http.Request
	base string // of links
	html bool

	reserved   *reservation // nil if the call has submitted no query
	assembling bool         // has the turn of the server's pageMemory
}

func (s *Server) serve(w http.ResponseWriter, r *http.Request, do func(*call) error) {
	c := &call{s: s, now: s.now.Load(), w: w, r: r}
	c.base = strings.TrimSuffix(c.now.op.URL, "/")
	if c.base == "" {
		c.base = "http://" + r.Host
	}
	w.Header().Set("Access-Control-Allow-Origin", "*")
	w.Header().Set("Vary", "Accept, Accept-Encoding")
	defer c.release()
	err := c.check()
	if err == nil {
		err = do(c)
	}
	if err != nil {
		c.refuse(err)
	}
}

// check is what holds for every request.
func (c *call) check() error {
	if c.r.Method != http.MethodGet && c.r.Method != http.MethodHead {
		c.w.Header().Set("Allow", "GET, HEAD")
		return &status{http.StatusMethodNotAllowed, "only GET and HEAD are served"}
	}
	if c.r.ContentLength != 0 {
		c.w.Header().Set("Connection", "close") // what follows is not read
		return &status{http.StatusBadRequest, "a request here has no body"}
	}
	f := c.r.URL.Query().Get("f")
	var err error
	c.html, err = wantsHTML(c.r.Header.Get("Accept"), f)
	return err
}

// wantsHTML picks the form: f over Accept; JSON where both are as welcome.
func wantsHTML(accept, f string) (bool, error) {
	switch f {
	case "json":
		return false, nil
	case "html":
		return true, nil
	}
	if accept == "" {
		return false, nil
	}
	quality := map[string]float64{}
	for item := range strings.SplitSeq(accept, ",") {
		kind, params, err := mime.ParseMediaType(item)
		if err != nil {
			continue
		}
		q := 1.0
		if text, ok := params["q"]; ok {
			if q, err = strconv.ParseFloat(text, 64); err != nil {
				q = 0
			}
		}
		quality[kind] = max(quality[kind], q)
	}
	get := func(kinds ...string) (best float64) {
		for _, k := range kinds {
			best = max(best, quality[k])
		}
		return best
	}
	asJSON := get(geoJSON, plainJSON, schemaJSON, "application/vnd.oai.openapi+json", "application/*", "*/*")
	asHTML := get("text/html", "text/*", "*/*")
	if asJSON == 0 && asHTML == 0 {
		return false, &status{http.StatusNotAcceptable, "JSON and HTML are what there is"}
	}
	return asHTML > asJSON || asHTML == asJSON && quality["text/html"] > get(geoJSON, plainJSON, schemaJSON), nil
}

// none refuses parameters where there are none, but for f.
func (c *call) none() error {
	for name := range c.r.URL.Query() {
		if name != "f" {
			return bad(name, "there is no such parameter here")
		}
	}
	return nil
}

func (c *call) landing() error {
	if err := c.none(); err != nil {
		return err
	}
	f := landingForm{Title: c.now.op.Title, Description: c.now.op.Description}
	if f.Title == "" {
		f.Title = "Features"
	}
	f.Links = []link{
		{c.base + "/", "self", plainJSON, "this document"}, {c.base + "/api", "service-desc", openAPIJSON, "the API's definition"},
		{c.base + "/api?f=html", "service-doc", "text/html", "the API's definition, to read"},
		{c.base + "/conformance", "conformance", plainJSON, "the requirement classes that hold"},
		{c.base + "/collections", "data", plainJSON, "the collections"},
	}
	return c.show(plainJSON, "landing", f, nil)
}

func (c *call) conformance() error {
	if err := c.none(); err != nil {
		return err
	}
	return c.show(plainJSON, "conformance", conformanceForm{conformance}, nil)
}

func (c *call) collectionList() error {
	if err := c.none(); err != nil {
		return err
	}
	f := collectionsForm{Links: []link{{c.base + "/collections", "self", plainJSON, "this document"}}}
	for _, name := range c.now.names {
		f.Collections = append(f.Collections, c.describe(c.now.collections[name]))
	}
	return c.show(plainJSON, "collections", f, nil)
}

// named finds the collection of the path.
func (c *call) named() (*collection, error) {
	if col := c.now.collections[c.r.PathValue("collection")]; col != nil {
		return col, nil
	}
	return nil, &status{http.StatusNotFound, fmt.Sprintf("there is no collection %q", c.r.PathValue("collection"))}
}

func (c *call) describe(col *collection) *collectionForm {
	at := c.base + "/collections/" + col.name
	f := &collectionForm{
		ID: col.name, Title: col.title(), Description: col.Description, ItemType: "feature", CRS: []string{crs84, mercator},
		StorageCRS: crs84,
		Links: []link{
			{at, "self", plainJSON, "this document"}, {at + "/items", "items", geoJSON, "the features"},
			{at + "/items?f=html", "items", "text/html", "the features, to read"},
			{at + "/queryables", "http://www.opengis.net/def/rel/ogc/1.0/queryables", schemaJSON, "what filters may name"},
		},
	}
	f.Extent.Spatial.BBox = [][]float64{extent(col.index.Bound())}
	f.Extent.Spatial.CRS = crs84
	return f
}

func (c *call) collection() error {
	col, err := c.named()
	if err == nil {
		err = c.none()
	}
	if err != nil {
		return err
	}
	return c.show(plainJSON, "collection", c.describe(col), nil)
}

// queryables is a JSON Schema of what filters may name.
func (c *call) queryables() error {
	col, err := c.named()
	if err == nil {
		err = c.none()
	}
	if err != nil {
		return err
	}
	properties := map[string]any{}
	for name, kind := range col.kinds {
		properties[name] = [...]map[string]string{
			cql.Text: {"type": "string"}, cql.Number: {"type": "number"}, cql.Boolean: {"type": "boolean"},
			cql.Time: {"type": "string", "format": "date-time"}, cql.Geometry: {"$ref": "https://geojson.org/schema/Geometry.json"},
		}[kind]
	}
	return c.show(schemaJSON, "queryables", map[string]any{
		"$schema": "https://json-schema.org/draft/2020-12/schema", "$id": c.base + "/collections/" + col.name + "/queryables",
		"type": "object", "title": col.title(), "properties": properties, "additionalProperties": false,
	}, nil)
}

// tenant finds whose request it is.
func (c *call) tenant() (int, error) {
	if h := c.now.op.KeyHeader; h != "" {
		if key := c.r.Header.Get(h); key != "" {
			t, ok := c.now.tenants[key]
			if !ok {
				return 0, &status{http.StatusUnauthorized, "the key in " + h + " is not known"}
			}
			return t, nil
		}
	}
	if !c.now.keyless {
		return 0, &status{http.StatusUnauthorized, "a key is needed in " + c.now.op.KeyHeader}
	}
	return c.now.tenant, nil
}

func (c *call) items() error {
	col, err := c.named()
	if err != nil {
		return err
	}
	p, err := c.now.parseParams(col, c.r.URL.Query())
	if err != nil {
		return err
	}
	tenant, err := c.tenant()
	if err != nil {
		return err
	}
	pg := c.now.plan(col, p)
	pg.rawOnly = !c.html && p.crs != mercator
	a, err := c.ask(pg, tenant)
	if err != nil {
		return err
	}
	f, err := c.now.form(pg, a, c.base, time.Now())
	if err != nil {
		return err
	}
	c.w.Header().Set("Content-Crs", "<"+p.crs+">")
	return c.show(geoJSON, "items", f, a.features)
}

func (c *call) item() error {
	col, err := c.named()
	if err == nil {
		err = c.none()
	}
	if err != nil {
		return err
	}
	tenant, err := c.tenant()
	if err != nil {
		return err
	}
	id := c.r.PathValue("feature")
	gone := &status{http.StatusNotFound, fmt.Sprintf("there is no feature %q", id)}
	pg, ok := c.now.single(col, id)
	if !ok {
		return gone
	}
	a, err := c.ask(pg, tenant)
	if err != nil {
		return err
	}
	switch {
	case len(a.features) == 0 && len(a.missing) > 0: // it may be where nobody answered
		return &failure{http.StatusGatewayTimeout, "the readers of the feature's square did not all answer", 0}
	case len(a.features) == 0:
		return gone
	}
	c.w.Header().Set("Content-Crs", "<"+crs84+">")
	var f map[string]json.RawMessage
	if err := json.Unmarshal(a.features[0].Raw, &f); err != nil {
		return err
	}
	at := c.base + "/collections/" + col.name
	if f["links"], err = json.Marshal([]link{{at + "/items/" + id, "self", geoJSON, ""}, {at, "collection", plainJSON, ""}}); err != nil {
		return err
	}
	return c.show(geoJSON, "item", f, a.features)
}

// project3857 is a feature's bytes, with its geometry moved where that is asked.
func project3857(f *feature.Feature, crs string) (json.RawMessage, error) {
	if crs != mercator || f.Geometry == nil {
		return f.Raw, nil
	}
	var form map[string]json.RawMessage
	if err := json.Unmarshal(f.Raw, &form); err != nil {
		return nil, err
	}
	raw, err := geojson.NewGeometry(project.Geometry(f.Geometry, project.WGS84.ToMercator)).MarshalJSON()
	if err != nil {
		return nil, err
	}
	form["geometry"] = raw
	return json.Marshal(form)
}

// refuse writes an error as a problem document.
func (c *call) refuse(err error) {
	p := problem{Type: "about:blank", Status: http.StatusInternalServerError}
	var wrong *badParameter
	var plain *status
	var failed *failure
	switch {
	case errors.Is(err, errDisconnected) || errors.Is(err, context.Canceled): // nobody reads an answer
		panic(http.ErrAbortHandler) // closes the connection, so that no request behind this one is served
	case errors.Is(err, errTooMuchAhead):
		c.w.Header().Set("Connection", "close")
		p.Status, p.Detail = http.StatusBadRequest, err.Error()
	case errors.As(err, &wrong):
		p.Status, p.Parameter, p.Detail = http.StatusBadRequest, wrong.name, wrong.why
	case errors.As(err, &plain):
		p.Status, p.Detail = plain.code, plain.why
	case errors.As(err, &failed):
		p.Status, p.Detail = failed.status, failed.title
		if failed.after > 0 {
			c.w.Header().Set("Retry-After", strconv.Itoa(int((failed.after+time.Second-1)/time.Second))) // RFC 9110: whole seconds
		}
	default:
		c.s.log.Warn("a feature query could not be answered", logrus.Fields{"error": err})
		p.Detail = "this is a fault of ours"
	}
	p.Title = http.StatusText(p.Status)
	body, err := json.Marshal(p)
	if err != nil {
		panic("ogc: a problem that can't be written: " + err.Error())
	}
	c.write(p.Status, problemJSON, body)
}

// show writes a document in the form that is asked for.
func (c *call) show(kind, view string, form any, features []feature.Feature) error {
	var body []byte
	var err error
	if c.html {
		kind = htmlText
		body, err = render(view, c.base, form, features)
	} else {
		var b bytes.Buffer
		enc := json.NewEncoder(&b)
		enc.SetEscapeHTML(false)
		err = enc.Encode(form)
		body = b.Bytes()
	}
	if err != nil {
		return err
	}
	c.write(http.StatusOK, kind, body)
	return nil
}

// write sends a whole body, unless the client has it already. The memory of what clients have not taken yet is bounded.
func (c *call) write(code int, kind string, body []byte) {
	out := http.NewResponseController(c.w)
	out.SetWriteDeadline(time.Now().Add(c.s.limits.WriteTime)) // the server's began when the request was read
	h := c.w.Header()
	h.Set("Content-Type", kind)
	if connOf(c.r).isLastReply() {
		h.Set("Connection", "close")
	}
	if code == http.StatusOK {
		var tag string
		if body, tag = c.encode(body); c.hasCopy(tag) {
			h.Del("Content-Encoding")
			c.w.WriteHeader(http.StatusNotModified)
			return
		}
	}
	c.endAssembly()
	if !c.reserveBody(len(body)) {
		return
	}
	h.Set("Content-Length", strconv.Itoa(len(body)))
	c.w.WriteHeader(code)
	if c.r.Method != http.MethodHead {
		c.send(out, body)
	}
}

// encode compresses a body if the client accepts that, and sets the headers that tell of it. It returns the entity tag as well.
func (c *call) encode(body []byte) ([]byte, string) {
	sum := sha256.Sum256(body)
	tag := hex.EncodeToString(sum[:12])
	accepts := acceptsGzip(c.r.Header.Get("Accept-Encoding")) && len(body) > 512
	if accepts && c.beginAssembly(c.r.Context(), time.Now().Add(c.s.limits.WriteTime)) == nil {
		var b bytes.Buffer
		zip := c.s.memory.zip
		zip.Reset(&b)
		zip.Write(body) // to memory: it can't fail
		zip.Close()
		zip.Reset(io.Discard)
		body, tag = b.Bytes(), tag+"-gzip"
		c.w.Header().Set("Content-Encoding", "gzip")
	}
	tag = `"` + tag + `"`
	c.w.Header().Set("ETag", tag)
	return body, tag
}

// hasCopy reports whether the client has a copy with an entity tag already.
func (c *call) hasCopy(tag string) bool {
	for old := range strings.SplitSeq(c.r.Header.Get("If-None-Match"), ",") {
		if old = strings.TrimPrefix(strings.TrimSpace(old), "W/"); old == tag || old == "*" {
			return true
		}
	}
	return false
}

// smallBody is the size of bodies that need no reservation: error documents above all.
const smallBody = 4 << 10

// reserveBody reserves the memory for a body until the call ends. If it does not fit, it writes an answer that says so and returns
// false: where a query was submitted that is a failure, since the query may have run.
func (c *call) reserveBody(size int) bool {
	code := http.StatusInternalServerError
	if c.reserved == nil && size <= smallBody {
		return true
	}
	if c.reserved == nil {
		c.reserved, code = &reservation{memory: c.s.memory}, http.StatusServiceUnavailable
	}
	if c.reserved.resize(int64(size)) {
		return true
	}
	h := c.w.Header()
	h.Del("Content-Encoding")
	h.Del("ETag")
	h.Set("Content-Length", "0")
	if code == http.StatusServiceUnavailable {
		h.Set("Retry-After", "1")
	}
	c.w.WriteHeader(code)
	return false
}

// send writes a body. The client must take each piece of it in a write's time.
func (c *call) send(out *http.ResponseController, body []byte) {
	for len(body) > 0 {
		n := min(writeChunk, len(body))
		out.SetWriteDeadline(time.Now().Add(c.s.limits.WriteTime))
		if _, err := c.w.Write(body[:n]); err != nil {
			return // it has left, or is too slow: the connection is closed
		}
		body = body[n:]
	}
	out.SetWriteDeadline(time.Now().Add(c.s.limits.WriteTime))
}

func acceptsGzip(accept string) bool {
	for item := range strings.SplitSeq(accept, ",") {
		name, q, _ := strings.Cut(strings.TrimSpace(item), ";")
		if name == "gzip" && strings.ReplaceAll(q, " ", "") != "q=0" {
			return true
		}
	}
	return false
}
