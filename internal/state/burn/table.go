package burn

import (
	"fmt"
	"io"
	"text/tabwriter"
)

// WriteTable writes the report as a table for a terminal.
func (r *Report) WriteTable(w io.Writer) error {
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprint(tw, "ALERT\tROUTE\tORGANISATION\tINDICATOR\tOBJECTIVE")
	for _, win := range windows {
		fmt.Fprintf(tw, "\t%s", win.name)
	}
	fmt.Fprintln(tw, "\tBUDGET LEFT")
	for i := range r.Rows {
		r.Rows[i].write(tw)
	}
	if err := tw.Flush(); err != nil {
		return fmt.Errorf("writing the burn rate table: %w", err)
	}
	_, err := fmt.Fprint(w, r.footer())
	if err != nil {
		return fmt.Errorf("writing the burn rate table: %w", err)
	}
	return nil
}

func (r *Report) footer() string {
	text := fmt.Sprintf("Burn rates; at 1.0 the error budget of a window is spent in exactly that window. Counted by %d of %d daemons.\n",
		r.Daemons, r.DaemonsAsked)
	if r.Omitted > 0 {
		text += fmt.Sprintf("%d less urgent rows are not shown.\n", r.Omitted)
	}
	return text
}

func (r *Row) write(w io.Writer) {
	fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s", r.Alert, orAll(string(r.Route)), orAll(string(r.Organisation)), r.Indicator, r.objectiveText())
	for _, win := range r.Windows {
		if win.Total == 0 {
			fmt.Fprint(w, "\t-")
			continue
		}
		fmt.Fprintf(w, "\t%.1f", win.BurnRate)
	}
	fmt.Fprintf(w, "\t%.0f %%\n", 100*r.BudgetLeft)
}

func (r *Row) objectiveText() string {
	if r.ThresholdMs == 0 {
		return fmt.Sprintf("%.5g %%", 100*r.Objective)
	}
	return fmt.Sprintf("%.5g %% in %d ms", 100*r.Objective, r.ThresholdMs)
}

func orAll(s string) string {
	if s == "" {
		return "all"
	}
	return s
}
