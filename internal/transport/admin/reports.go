package admin

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/gooseberryway/gooseberryway/internal/protocol/wire"
	"github.com/gooseberryway/gooseberryway/internal/state/config"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

// AuditEntry is the metadata of one record of the control stream.
type AuditEntry struct {
	Offset   ident.Offset   `json:"offset"`
	RecordID ident.RecordID `json:"recordId"`
	Author   string         `json:"author"`
	Created  time.Time      `json:"created"`
	Path     ident.Path     `json:"path"`
	// BaseRevision is the revision that the record was based on. A record based on an outdated revision has no effect.
	BaseRevision ident.Offset `json:"based"`
	Deleted      bool         `json:"deleted"`
}

// AuditPage is one page of the audit trail.
type AuditPage struct {
	Items []AuditEntry `json:"items"`
	// Next is the offset from which the next page starts.
	Next ident.Offset `json:"next"`
}

type auditRequest struct {
	from  ident.Offset
	limit int
}

func (s *Server) reportOperations() []operation {
	return []operation{
		{
			method: http.MethodGet, path: "/changes/{id}", id: "get-change", status: http.StatusOK,
			summary:  "Tell how far the change at an offset has come",
			response: Progress{},
			handler:  newHandler(s, http.StatusOK, decodeOffset, s.getProgress),
		},
		{
			method: http.MethodGet, path: "/audit", id: "get-audit", status: http.StatusOK,
			summary:  "Read the audit trail from an offset on (parameters from and limit)",
			response: AuditPage{},
			handler:  newHandler(s, http.StatusOK, decodeAudit, s.getAudit),
		},
		{
			method: http.MethodGet, path: "/status", id: "get-status", status: http.StatusOK,
			summary:  "Tell what is wrong, and the state of members, engines and moves as this daemon sees them",
			response: map[string]any{},
			handler:  newHandler(s, http.StatusOK, decodeNothing, func(context.Context, struct{}) (any, error) { return s.Status(), nil }),
		},
		{
			method: http.MethodGet, path: "/burn", id: "get-burn", status: http.StatusOK,
			summary:  "Report how fast the error budgets of the service-level objectives are used",
			response: map[string]any{},
			handler:  newHandler(s, http.StatusOK, decodeNothing, func(context.Context, struct{}) (any, error) { return s.Burn(), nil }),
		},
	}
}

func decodeOffset(_ context.Context, r *http.Request) (ident.Offset, error) {
	n, err := strconv.ParseUint(r.PathValue("id"), 10, 64)
	if err != nil {
		return 0, &Error{Code: CodeInvalid, Message: "the offset is not a number", Err: err}
	}
	return ident.Offset(n), nil
}

func (s *Server) getProgress(_ context.Context, offset ident.Offset) (*Progress, error) {
	progress := s.Progress(offset)
	return &progress, nil
}

func decodeAudit(_ context.Context, r *http.Request) (auditRequest, error) {
	req := auditRequest{from: 1, limit: maxAuditEntries}
	if text := r.URL.Query().Get("from"); text != "" {
		n, err := strconv.ParseUint(text, 10, 64)
		if err != nil {
			return req, &Error{Code: CodeInvalid, Message: "from is not an offset", Err: err}
		}
		req.from = ident.Offset(n)
	}
	if text := r.URL.Query().Get("limit"); text != "" {
		n, err := strconv.Atoi(text)
		if err != nil || n < 1 || n > maxAuditEntries {
			return req, &Error{Code: CodeInvalid, Message: "limit is not a number from 1 to " + strconv.Itoa(maxAuditEntries)}
		}
		req.limit = n
	}
	return req, nil
}

func (s *Server) getAudit(ctx context.Context, req auditRequest) (*AuditPage, error) {
	op := operatorFromContext(ctx)
	entries, err := s.Records(ctx, req.from, req.limit)
	if err != nil {
		return nil, &Error{Code: CodeLogUnavailable, Message: "the log service can't be read now", RetryAfter: logUnavailableRetryAfter, Err: err}
	}
	audit := &AuditPage{Items: []AuditEntry{}, Next: req.from}
	for _, entry := range entries {
		audit.Next = ident.Offset(entry.GetOffset()) + 1
		if op.HasRole(config.RoleViewer, ident.Path(entry.GetRecord().GetPath())) {
			audit.Items = append(audit.Items, newAuditEntry(entry))
		}
	}
	return audit, nil
}

func newAuditEntry(entry *wire.LogEntry) AuditEntry {
	rec := entry.GetRecord()
	return AuditEntry{
		Offset:       ident.Offset(entry.GetOffset()),
		RecordID:     ident.RecordID(rec.GetRecordId()),
		Author:       rec.GetAuthor(),
		Created:      time.UnixMilli(rec.GetCreatedUnixMs()),
		Path:         ident.Path(rec.GetPath()),
		BaseRevision: ident.Offset(rec.GetBaseRevision()),
		Deleted:      rec.GetDeleted(),
	}
}
