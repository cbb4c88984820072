package admin

import (
	"context"
	"encoding/json"
	"net/http"

	"github.com/gooseberryway/gooseberryway/internal/state/config"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

// settingRequest is a request to set or delete the setting at a full path, such as /teams/alder/settings/retry.
type settingRequest struct {
	path         ident.Path
	body         []byte
	precondition precondition
}

// SettingValue is the JSON value of a setting with its path and revision.
type SettingValue struct {
	Path     ident.Path      `json:"path"`
	Revision ident.Offset    `json:"revision"`
	Value    json.RawMessage `json:"value"`
}

func (s *Server) settingOperations() []operation {
	decodeSettingPath := func(_ context.Context, r *http.Request) (ident.Path, error) {
		return ident.Path("/" + r.PathValue("path")), nil
	}
	return []operation{
		{
			method: http.MethodGet, path: "/settings/{path...}", id: "get-settings", status: http.StatusOK,
			summary:  "Read the settings at and below a path",
			response: []SettingValue{},
			handler:  newHandler(s, http.StatusOK, decodeSettingPath, s.getSettings),
		},
		{
			method: http.MethodPut, path: "/settings/{path...}", id: "put-setting", status: http.StatusAccepted,
			summary: "Set a setting to a JSON value, based on the revision in If-Match or on If-None-Match: *",
			request: map[string]any{}, response: Change{}, entity: &config.Setting{},
			handler: newHandler(s, http.StatusAccepted, decodeSetting, s.putSetting),
		},
		{
			method: http.MethodDelete, path: "/settings/{path...}", id: "delete-setting", status: http.StatusAccepted,
			summary:  "Delete a setting, based on the revision in If-Match",
			response: Change{},
			handler:  newHandler(s, http.StatusAccepted, decodeSetting, s.deleteSetting),
		},
	}
}

func decodeSetting(ctx context.Context, r *http.Request) (settingRequest, error) {
	pre, err := decodePrecondition(r)
	if err != nil {
		return settingRequest{}, err
	}
	if !pre.present {
		return settingRequest{}, preconditionMissingError()
	}
	body, err := readBody(ctx, r)
	return settingRequest{path: ident.Path("/" + r.PathValue("path")), body: body, precondition: pre}, err
}

func (s *Server) getSettings(ctx context.Context, path ident.Path) ([]SettingValue, error) {
	op, st := operatorFromContext(ctx), s.State()
	if err := checkRole(op, config.RoleViewer, path); err != nil {
		return nil, err
	}
	values := []SettingValue{}
	for at, e := range st.Entities() {
		if setting, ok := e.(*config.Setting); ok && config.SubtreeContains(path, at) {
			values = append(values, SettingValue{Path: at, Revision: st.Revision(at), Value: json.RawMessage(setting.Value)})
		}
	}
	return values, nil
}

func (s *Server) putSetting(ctx context.Context, req settingRequest) (*Change, error) {
	if !json.Valid(req.body) {
		return nil, &Error{Code: CodeInvalid, Path: req.path, Message: "the body is not valid JSON"}
	}
	return s.putEntity(ctx, config.RoleEditor, req.precondition.baseRevision, &config.Setting{Path: req.path, Value: string(req.body)})
}

func (s *Server) deleteSetting(ctx context.Context, req settingRequest) (*Change, error) {
	op := operatorFromContext(ctx)
	if err := checkRole(op, config.RoleEditor, req.path); err != nil {
		return nil, err
	}
	return s.appendRecord(ctx, config.NewDeletion(s.recordID(ctx, req.path), string(op.ID), req.precondition.baseRevision, req.path), nil)
}
