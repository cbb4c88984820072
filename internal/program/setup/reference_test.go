package setup

import (
	"fmt"
	"os"
	"reflect"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

const referencePage = "../../../docs/operators/running.md"

// row is a line of the settings reference: what the code says of a setting.
type row struct {
	unit, standard, allowed string
}

// units are the units that the end of a setting's name tells.
var units = map[string]string{
	"Ms": "ms", "Bytes": "bytes", "Permille": "permille", "Percent": "percent", "PerSecond": "tokens/s",
}

// rows adds a row for every setting below a value.
func rows(into map[string]row, path string, v reflect.Value) {
	for field, value := range v.Fields() {
		name, _, _ := strings.Cut(field.Tag.Get("json"), ",")
		at := joinName(path, name)
		if value.Kind() == reflect.Pointer {
			value = reflect.New(value.Type().Elem()).Elem()
		}
		if value.Kind() == reflect.Struct {
			rows(into, at, value)
			continue
		}
		into[at] = row{unit: unitOf(name), standard: standardOf(value), allowed: allowedOf(field.Tag.Get("validate"))}
	}
}

func unitOf(name string) string {
	for end, unit := range units {
		if strings.HasSuffix(name, end) {
			return unit
		}
	}
	return ""
}

func standardOf(v reflect.Value) string {
	if v.IsZero() {
		return ""
	}
	return fmt.Sprint(v.Interface())
}

func allowedOf(tag string) string {
	var parts []string
	for rule := range strings.SplitSeq(tag, ",") {
		name, value, _ := strings.Cut(rule, "=")
		switch name {
		case "", "omitempty":
		case "oneof":
			parts = append(parts, strings.Join(strings.Fields(value), " "))
		case "required_with":
			parts = append(parts, "needed beside the other files")
		default:
			parts = append(parts, strings.TrimSpace(name+" "+value))
		}
	}
	return strings.Join(parts, ", ")
}

// readReference returns the rows of the table on the page.
func readReference(t *testing.T) map[string]row {
	t.Helper()
	page, err := os.ReadFile(referencePage)
	require.NoError(t, err)
	found := map[string]row{}
	for line := range strings.Lines(string(page)) {
		cells := strings.Split(strings.Trim(strings.TrimSpace(line), "|"), "|")
		if len(cells) != 5 || !strings.HasPrefix(line, "| `") {
			continue
		}
		for i := range cells {
			cells[i] = strings.TrimSpace(cells[i])
		}
		require.NotEmpty(t, cells[1], "%s has no meaning", cells[0])
		found[strings.Trim(cells[0], "`")] = row{unit: cells[2], standard: cells[3], allowed: cells[4]}
	}
	return found
}

func TestTheSettingsReferenceMatchesTheSettings(t *testing.T) {
	want := map[string]row{}
	rows(want, "", reflect.ValueOf(Default()))
	require.Equal(t, want, readReference(t))
}
