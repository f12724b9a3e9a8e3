package ogc

import (
	"maps"
	"slices"

	"birchcart/internal/cql"
)

type object = map[string]any

// api shows the definition of this API, in OpenAPI 3.0. A test validates it with the library for that, which is not
// linked into the program.
func (c *call) api() error {
	if err := c.none(); err != nil {
		return err
	}
	return c.show(openAPIJSON, "api", c.now.definition(c.base), nil)
}

func (s *snapshot) definition(base string) object {
	title := s.op.Title
	if title == "" {
		title = "Features"
	}
	paths := object{
		"/":            operation("landing", "The landing page", nil, plainJSON, "200"),
		"/conformance": operation("conformance", "The requirement classes that hold", nil, plainJSON, "200"),
		"/api":         operation("api", "This definition", nil, openAPIJSON, "200"),
		"/collections": operation("collections", "The collections", nil, plainJSON, "200"),
	}
	for _, name := range s.names {
		c := s.collections[name]
		at := "/collections/" + name
		paths[at] = operation("describe-"+name, c.title(), nil, plainJSON, "200")
		paths[at+"/queryables"] = operation("queryables-"+name, "What filters may name", nil, schemaJSON, "200")
		paths[at+"/items"] = operation("items-"+name, "Features of "+c.title(), c.parameters(s.op.LimitUsual, s.op.LimitMost), geoJSON, "200", "503", "504", "502")
		paths[at+"/items/{featureId}"] = operation("item-"+name, "One feature of "+c.title(), []object{
			{"name": "featureId", "in": "path", "required": true, "schema": object{"type": "string"}},
		}, geoJSON, "200", "404", "503", "504")
	}
	info := object{"title": title, "version": "1.0.0"}
	if s.op.Description != "" {
		info["description"] = s.op.Description
	}
	return object{
		"openapi": "3.0.3", "info": info, "servers": []object{{"url": base}}, "paths": paths,
		"components": object{"schemas": object{"problem": object{
			"type": "object", "required": []string{"title", "status"}, "properties": object{
				"type": object{"type": "string"}, "title": object{"type": "string"}, "status": object{"type": "integer"},
				"detail": object{"type": "string"}, "parameter": object{"type": "string"},
			},
		}}},
	}
}

var says = map[string]string{
	"200": "what was asked", "404": "there is no such feature", "502": "too few readers gave what can be used",
	"503": "refused; coming again is harmless, after Retry-After where it is given", "504": "the readers did not answer in time, or failed",
}

func operation(id, summary string, parameters []object, kind string, codes ...string) object {
	problems := object{problemJSON: object{"schema": object{"$ref": "#/components/schemas/problem"}}}
	responses := object{"400": object{"description": "a parameter can't be used; the document names it", "content": problems}}
	for _, code := range codes {
		content := problems
		if code == "200" {
			content = object{kind: object{"schema": object{"type": "object"}}, "text/html": object{"schema": object{"type": "string"}}}
		}
		responses[code] = object{"description": says[code], "content": content}
	}
	f := object{"name": "f", "in": "query", "schema": object{"type": "string", "enum": []string{"json", "html"}}}
	return object{"get": object{"operationId": id, "summary": summary, "parameters": append(slices.Clone(parameters), f), "responses": responses}}
}

func (c *collection) parameters(usual, most int) []object {
	text := object{"type": "string"}
	crs := object{"type": "string", "enum": []string{crs84, mercator}, "default": crs84}
	query := func(name string, schema object, about string) object {
		return object{"name": name, "in": "query", "required": false, "schema": schema, "description": about}
	}
	bbox := query("bbox", object{"type": "array", "items": object{"type": "number"}, "minItems": 4, "maxItems": 6},
		"west, south, east, north; six numbers with heights, which are passed over")
	bbox["style"], bbox["explode"] = "form", false
	out := []object{
		bbox, query("bbox-crs", crs, "of bbox"), query("crs", crs, "of the geometries given"),
		query("datetime", text, "a time as in RFC 3339, or an interval with a slash, one end of which may be .."),
		query("limit", object{"type": "integer", "minimum": 1, "maximum": most, "default": usual}, "features of a page"),
		query("filter", text, "a filter as CQL2 text"), query("filter-lang", object{"type": "string", "enum": []string{"cql2-text"}}, "of filter"),
		query("filter-crs", object{"type": "string", "enum": []string{crs84}}, "of filter"),
		query("cursor", text, "as given by a link of a page before"),
	}
	for _, name := range slices.Sorted(maps.Keys(c.kinds)) {
		schema := [...]object{
			cql.Text: {"type": "string"}, cql.Number: {"type": "number"}, cql.Boolean: {"type": "boolean"}, cql.Time: {"type": "string"}, cql.Geometry: nil,
		}[c.kinds[name]]
		if schema != nil {
			out = append(out, query(name, schema, "features whose property has this value"))
		}
	}
	return out
}
