package declaration

import "encoding/json"

// JSONSchema returns the JSON Schema of the documents, for editors. It is
// committed as docs/schema/cassiasill-v1.json.
func JSONSchema() ([]byte, error) {
	type object = map[string]any
	text := func(description string) object { return object{"type": "string", "description": description} }
	var kinds []object
	for _, kind := range Kinds() {
		properties := object{}
		required := []string{}
		for _, f := range Fields(kind) {
			property := text(f.Description)
			if f.Name == "labels" {
				property = object{"type": "object", "description": f.Description, "minProperties": 1, "additionalProperties": object{"type": "string"}}
			}
			properties[f.Name] = property
			if f.Required {
				required = append(required, f.Name)
			}
		}
		spec := object{"type": "object", "additionalProperties": false, "properties": properties, "required": required}
		if kind == KindKeyLabels {
			spec["oneOf"] = []object{{"required": []string{"key"}}, {"required": []string{"prefix"}}, {"required": []string{"pattern"}}}
		}
		kinds = append(kinds, object{"properties": object{"kind": object{"const": kind}, "spec": spec}})
	}
	schema := object{
		"$schema": "https://json-schema.org/draft/2020-12/schema",
		"title":   "cassiasill declarations",
		"type":    "object", "additionalProperties": false,
		"required": []string{"apiVersion", "kind", "metadata", "spec"},
		"properties": object{
			"apiVersion": object{"const": APIVersion},
			"kind":       object{"enum": Kinds()},
			"metadata": object{
				"type": "object", "additionalProperties": false, "required": []string{"name"},
				"properties": object{
					"name":        object{"type": "string", "pattern": nameSyntax, "maxLength": maxNameBytes},
					"description": text("Free text for other operators."),
					"revision":    object{"type": "integer", "description": "Revision of the document that was edited; set by the router."},
					"changedBy":   text("Who changed the document last; set by the router."),
					"changedAt":   text("When the document was changed last; set by the router."),
				},
			},
			"spec": object{"type": "object"},
		},
		"oneOf": kinds,
	}
	data, err := json.MarshalIndent(schema, "", "  ")
	return append(data, '\n'), err
}
