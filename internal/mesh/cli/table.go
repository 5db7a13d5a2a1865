package cli

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"

	"github.com/cockroachdb/errors"
)

// columns are the columns that come first in a table, in this order. The others follow, sorted by name.
var columns = []string{"source", "station", "carrier", "zone", "condition", "version"}

// printTable prints a state in readable form: first the single values, one a line, then each list of objects as a table.
func printTable(text []byte, w io.Writer) error {
	var state map[string]any
	if err := json.Unmarshal(text, &state); err != nil {
		return errors.Wrap(err, "state")
	}
	out := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	var lists []string
	for _, name := range slices.Sorted(maps.Keys(state)) {
		if rows, ok := state[name].([]any); ok && len(rows) > 0 {
			if _, ok := rows[0].(map[string]any); ok {
				lists = append(lists, name)
				continue
			}
		}
		fmt.Fprintf(out, "%s\t%s\n", name, formatCell(state[name]))
	}
	for _, name := range lists {
		rows := state[name].([]any)
		fields := map[string]bool{}
		for _, r := range rows {
			for f := range r.(map[string]any) {
				fields[f] = true
			}
		}
		order := slices.DeleteFunc(slices.Clone(columns), func(c string) bool { return !fields[c] })
		for _, f := range slices.Sorted(maps.Keys(fields)) {
			if !slices.Contains(order, f) {
				order = append(order, f)
			}
		}
		fmt.Fprintf(out, "\n%s\n%s\n", name, strings.Join(order, "\t"))
		for _, r := range rows {
			for i, f := range order {
				if i > 0 {
					fmt.Fprint(out, "\t")
				}
				fmt.Fprint(out, formatCell(r.(map[string]any)[f]))
			}
			fmt.Fprintln(out)
		}
	}
	return errors.Wrap(out.Flush(), "state")
}

// formatCell formats one value of a table. An object is formatted as name=value pairs, sorted by name.
func formatCell(v any) string {
	switch v := v.(type) {
	case nil:
		return "-"
	case string:
		if v == "" {
			return "-"
		}
		return v
	case float64:
		return strings.TrimSuffix(strings.TrimRight(fmt.Sprintf("%.3f", v), "0"), ".")
	case []any:
		parts := []string{}
		for _, e := range v {
			parts = append(parts, formatCell(e))
		}
		if len(parts) == 0 {
			return "-"
		}
		return strings.Join(parts, " ")
	case map[string]any:
		parts := []string{}
		for _, k := range slices.Sorted(maps.Keys(v)) {
			text := formatCell(v[k])
			if _, nested := v[k].(map[string]any); nested {
				text = "(" + text + ")"
			}
			parts = append(parts, strings.ReplaceAll(k, " ", "_")+"="+text)
		}
		if len(parts) == 0 {
			return "-"
		}
		return strings.Join(parts, " ")
	}
	return fmt.Sprint(v)
}
