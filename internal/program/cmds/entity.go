package cmds

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"net/http"
	"net/url"
	"slices"
	"strings"
	"text/tabwriter"

	"github.com/spf13/cobra"

	"github.com/gooseberryway/gooseberryway/internal/program/client"
)

// entityCommand describes the commands for one kind of entity.
type entityCommand struct {
	use, short string
	// kind is the plural name that the paths of the admin API use.
	kind string
	// example is the example of the set command. If it is empty, the kind has no set and delete commands.
	example string
}

// membersKind is the kind of the daemons of the fleet.
const membersKind = "members"

func entityCommands() []*cobra.Command {
	kinds := []entityCommand{
		{"org", "Organisations with their rates", "organisations", "survey team=alder rateTokensPerSecond=200000 burstTokens=800000"},
		{"route", "Routes to models and plain services", "routes", "quotes team=birch kind=model model=girth onKeyWithdrawal=finish"},
		{"upstream", "Engines, the KV cache store and plain services", "upstreams", "engine-1 kind=engine baseUrl=http://127.0.0.1:9001 failureDomain=riga-1 model=girth"},
		{"model", "Models", "models", "girth currentVersion=girth-1 blockTokens=1000"},
		{"version", "Versions of models", "versions", "girth-2 model=girth weights=girth-2"},
		{"member", "Daemons of the fleet", membersKind, ""},
	}
	cmds := make([]*cobra.Command, 0, len(kinds))
	for _, d := range kinds {
		cmds = append(cmds, d.command())
	}
	return cmds
}

func (d entityCommand) command() *cobra.Command {
	parent, s := newOperatorCommand(d.use, d.short)
	parent.AddCommand(s.listCommand(d.kind), s.getCommand(d.kind))
	if d.kind == membersKind {
		parent.AddCommand(s.declareDeadCommand())
	}
	if d.example != "" {
		parent.AddCommand(s.setCommand(d), s.deleteCommand(d.kind))
	}
	return parent
}

func (s *operatorCommand) declareDeadCommand() *cobra.Command {
	return &cobra.Command{
		Use: "dead ID", Short: "Vouch that the VM of a daemon no longer runs, so that changes need not wait for it",
		Args: withUsageError(cobra.ExactArgs(1)),
		RunE: func(cmd *cobra.Command, args []string) error {
			change := &client.Change{}
			if err := s.admin.Post(cmd.Context(), entityPath(membersKind, args[0])+"/dead", nil, change); err != nil {
				return err
			}
			return s.reportChange(cmd, change)
		},
	}
}

func (s *operatorCommand) listCommand(kind string) *cobra.Command {
	return &cobra.Command{
		Use: "list", Short: "List all that you may see", Args: withUsageError(cobra.NoArgs),
		RunE: func(cmd *cobra.Command, _ []string) error {
			var list struct {
				Items []client.Resource `json:"items"`
			}
			if err := s.admin.Get(cmd.Context(), "/"+kind, &list); err != nil {
				return err
			}
			if s.json {
				return printJSON(cmd.OutOrStdout(), list.Items)
			}
			return printResources(cmd.OutOrStdout(), list.Items)
		},
	}
}

func (s *operatorCommand) getCommand(kind string) *cobra.Command {
	return &cobra.Command{
		Use: "get ID", Short: "Show one with its revision", Args: withUsageError(cobra.ExactArgs(1)),
		RunE: func(cmd *cobra.Command, args []string) error {
			var r client.Resource
			if err := s.admin.Get(cmd.Context(), entityPath(kind, args[0]), &r); err != nil {
				return err
			}
			if s.json {
				return printJSON(cmd.OutOrStdout(), r)
			}
			return printResources(cmd.OutOrStdout(), []client.Resource{r})
		},
	}
}

func (s *operatorCommand) setCommand(d entityCommand) *cobra.Command {
	return &cobra.Command{
		Use: "set ID FIELD=VALUE...", Short: "Create one or change fields of it; others stay as they are",
		Example: "  gooseberryway " + d.use + " set " + d.example,
		Args:    withUsageError(cobra.MinimumNArgs(2)),
		RunE: func(cmd *cobra.Command, args []string) error {
			fields, err := parseFields(args[1:])
			if err != nil {
				return &UsageError{Err: err}
			}
			change, err := s.updateFields(cmd.Context(), entityPath(d.kind, args[0]), fields)
			if err != nil {
				return err
			}
			return s.reportChange(cmd, change)
		},
	}
}

// updateFields writes the entity with the given fields replaced and its other fields unchanged. It creates an entity that
// does not exist. The write is conditional on the revision that was read.
func (s *operatorCommand) updateFields(ctx context.Context, path string, fields map[string]json.RawMessage) (*client.Change, error) {
	var current client.Resource
	err := s.admin.Get(ctx, path, &current)
	var failure *client.AdminError
	if err != nil && (!errors.As(err, &failure) || failure.Status != http.StatusNotFound) {
		return nil, err
	}
	merged := map[string]json.RawMessage{}
	if len(current.Entity) > 0 {
		if err := json.Unmarshal(current.Entity, &merged); err != nil {
			return nil, err
		}
	}
	maps.Copy(merged, fields)
	change := &client.Change{}
	return change, s.admin.Put(ctx, path, current.Revision, merged, change)
}

func (s *operatorCommand) deleteCommand(kind string) *cobra.Command {
	return &cobra.Command{
		Use: "delete ID", Short: "Delete one", Args: withUsageError(cobra.ExactArgs(1)),
		RunE: func(cmd *cobra.Command, args []string) error {
			path := entityPath(kind, args[0])
			var current client.Resource
			if err := s.admin.Get(cmd.Context(), path, &current); err != nil {
				return err
			}
			change := &client.Change{}
			if err := s.admin.Delete(cmd.Context(), path, current.Revision, change); err != nil {
				return err
			}
			return s.reportChange(cmd, change)
		},
	}
}

func entityPath(kind, id string) string { return "/" + kind + "/" + url.PathEscape(id) }

// FieldError reports an argument that is not of the form FIELD=VALUE, or a value of a setting that is not valid JSON.
type FieldError struct {
	Argument string
}

func (e *FieldError) Error() string {
	return fmt.Sprintf("%q is not of the form FIELD=VALUE", e.Argument)
}

// parseFields parses FIELD=VALUE arguments. A value that is not valid JSON is taken as a string.
func parseFields(args []string) (map[string]json.RawMessage, error) {
	fields := map[string]json.RawMessage{}
	for _, arg := range args {
		name, value, ok := strings.Cut(arg, "=")
		if !ok || name == "" {
			return nil, &FieldError{Argument: arg}
		}
		raw := json.RawMessage(value)
		if !json.Valid(raw) {
			raw, _ = json.Marshal(value)
		}
		fields[name] = raw
	}
	return fields, nil
}

// printResources writes a table of entities. Its columns are the revision and the fields of the first entity.
func printResources(w io.Writer, items []client.Resource) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	var names []string
	for i, r := range items {
		fields := map[string]json.RawMessage{}
		if err := json.Unmarshal(r.Entity, &fields); err != nil {
			return err
		}
		if i == 0 {
			names = columns(fields)
			fmt.Fprintln(t, "revision\t"+strings.Join(names, "\t"))
		}
		fmt.Fprint(t, r.Revision)
		for _, name := range names {
			fmt.Fprint(t, "\t", strings.Trim(string(fields[name]), `"`))
		}
		fmt.Fprintln(t)
	}
	return t.Flush()
}

// columns returns the field names in alphabetical order, but with the id first.
func columns(fields map[string]json.RawMessage) []string {
	names := slices.Sorted(maps.Keys(fields))
	slices.SortStableFunc(names, func(a, b string) int {
		switch {
		case a == "id":
			return -1
		case b == "id":
			return 1
		default:
			return 0
		}
	})
	return names
}
