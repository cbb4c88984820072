package admin

import (
	_ "embed" // for the OpenAPI document
	"encoding/json"
	"net/http"
	"regexp"
	"strconv"

	"github.com/getkin/kin-openapi/openapi3"
	"github.com/getkin/kin-openapi/openapi3gen"
)

//go:embed openapi.json
var openAPIDocument []byte

func serveOpenAPI(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(openAPIDocument)
}

// pathParameterPattern matches the parameters of a ServeMux pattern, {name} or {name...}.
var pathParameterPattern = regexp.MustCompile(`\{(\w+)(?:\.\.\.)?\}`)

// BuildOpenAPI returns the OpenAPI document of the administration API as indented JSON.
func BuildOpenAPI() ([]byte, error) {
	doc := &openapi3.T{
		OpenAPI: "3.0.3",
		Info: &openapi3.Info{
			Title:       "gooseberryway administration API",
			Version:     "1",
			Description: "Every change is a record of the log service. Changes are based on a revision; a change based on an old one is a conflict.",
		},
		Servers: openapi3.Servers{{URL: basePath}},
		Paths:   openapi3.NewPaths(),
		Components: &openapi3.Components{SecuritySchemes: openapi3.SecuritySchemes{
			"operatorKey": {Value: openapi3.NewSecurityScheme().WithType("http").WithScheme("bearer")},
		}},
		Security: openapi3.SecurityRequirements{openapi3.NewSecurityRequirement().Authenticate("operatorKey")},
	}
	for _, op := range (&Server{}).operations() {
		if err := addOperation(doc, op); err != nil {
			return nil, err
		}
	}
	return json.MarshalIndent(doc, "", "  ")
}

// addOperation adds the specification of an operation to the document.
func addOperation(doc *openapi3.T, op operation) error {
	path := pathParameterPattern.ReplaceAllString(op.path, "{$1}")
	item := doc.Paths.Value(path)
	if item == nil {
		item = &openapi3.PathItem{}
		doc.Paths.Set(path, item)
	}
	spec := openapi3.NewOperation()
	spec.OperationID = op.id
	spec.Summary = op.summary
	for _, match := range pathParameterPattern.FindAllStringSubmatch(op.path, -1) {
		spec.AddParameter(openapi3.NewPathParameter(match[1]).WithSchema(openapi3.NewStringSchema()))
	}
	if op.request != nil {
		schema, err := schemaFor(op.request)
		if err != nil {
			return err
		}
		spec.RequestBody = &openapi3.RequestBodyRef{Value: openapi3.NewRequestBody().WithRequired(true).WithJSONSchemaRef(schema)}
	}
	schema, err := responseSchema(op)
	if err != nil {
		return err
	}
	spec.Responses = openapi3.NewResponses()
	spec.Responses.Delete("default")
	spec.AddResponse(op.status, openapi3.NewResponse().WithDescription("done or accepted").WithJSONSchemaRef(schema))
	errorSchema, err := schemaFor(errorBody{Error: &Error{}})
	if err != nil {
		return err
	}
	spec.AddResponse(0, openapi3.NewResponse().WithDescription("refused; statuses "+describeErrorStatuses()).WithJSONSchemaRef(errorSchema))
	item.SetOperation(op.method, spec)
	return nil
}

// describeErrorStatuses lists the HTTP statuses with their error codes for the description of the error response.
func describeErrorStatuses() string {
	list := ""
	for _, code := range []Code{CodeKeyMissing, CodeForbidden, CodeNotFound, CodeConflict, CodeInvalid, CodePreconditionMissing, CodeLogUnavailable} {
		if list != "" {
			list += ", "
		}
		list += strconv.Itoa(statusByCode[code]) + " " + string(code)
	}
	return list
}

// schemaFor returns the JSON schema of the type of an example value.
func schemaFor(example any) (*openapi3.SchemaRef, error) {
	return openapi3gen.NewGenerator(openapi3gen.UseAllExportedFields()).NewSchemaRefForValue(example, nil)
}

// responseSchema returns the schema of a response, with the schema of op.entity in place of the interface type that
// the response declares.
func responseSchema(op operation) (*openapi3.SchemaRef, error) {
	schema, err := schemaFor(op.response)
	if err != nil || op.entity == nil {
		return schema, err
	}
	entity, err := schemaFor(op.entity)
	if err != nil {
		return nil, err
	}
	setEntitySchema(schema.Value, entity)
	return schema, nil
}

// setEntitySchema replaces the schema of every property named "entity", at any depth.
func setEntitySchema(schema *openapi3.Schema, entity *openapi3.SchemaRef) {
	for name, property := range schema.Properties {
		if name == "entity" {
			schema.Properties[name] = entity
			continue
		}
		setEntitySchema(property.Value, entity)
	}
	if schema.Items != nil {
		setEntitySchema(schema.Items.Value, entity)
	}
}
